/** Decides by the statement of a server that it leaves. */
import type {StatementHandler} from './statement_handler.js';

export interface LeavingState {
  isLeaving: true;
}

/** A server that leaves ends and never returns in the same life. */
export const leavingHandler: StatementHandler<LeavingState> = {
  update: (state, statement) =>
    state ?? (statement.isLeaving ? {isLeaving: true} : undefined),
  advance: state => state,
  getValue: () => 1,
  getShare: () => undefined,
  computeWait: () => Infinity,
  recordSend: state => state,
  isFinal: () => true,
  isBinding: () => true,
  describeNews: () => undefined,
  acceptNews: state => state,
};
