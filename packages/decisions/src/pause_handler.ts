/** Decides by the time for which a server asks to be sent nothing. */
import {
  advancePause,
  computePauseWait,
  recordPausedSend,
  updatePause,
} from './stated_pause.js';
import type {PauseState} from './stated_pause.js';
import type {StatementHandler} from './statement_handler.js';

const MS_PER_SECOND = 1000;

/** Binds this instance only: the answer was to its request. */
export const pauseHandler: StatementHandler<PauseState> = {
  update: (state, {pauseMs}, answer) => updatePause(state, pauseMs, answer),
  advance: (state, _life, _sharers, now) => advancePause(state, now),
  getValue: ({pauseMs, isOver}) =>
    isOver ? undefined : pauseMs / MS_PER_SECOND,
  getShare: () => undefined,
  computeWait: (state, _context, now, requestsAhead) =>
    computePauseWait(state, now, requestsAhead),
  recordSend: (state, _context, now) => recordPausedSend(state, now),
  isFinal: () => false,
  isBinding: () => true,
  describeNews: () => undefined,
  acceptNews: state => state,
};
