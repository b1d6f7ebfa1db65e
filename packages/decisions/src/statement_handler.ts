/** Decides by one kind of statement. */
import type {ServerLife} from './server_life.js';
import type {LimitNews} from './stated_limit.js';
import type {
  SendContext,
  ServerStatement,
  StatedAnswer,
  StatementSharers,
} from './statement.js';

/** Decides by one kind of statement; `State` is kept for each life. */
export interface StatementHandler<State> {
  /**
   * Returns the state after an answer; undefined if nothing is stated.
   * @param state Undefined if nothing was stated before.
   */
  update(
    state: State | undefined,
    statement: ServerStatement,
    answer: StatedAnswer,
  ): State | undefined;
  /** Returns the state at a later time; undefined if it no longer matters. */
  advance(
    state: State,
    life: ServerLife,
    sharers: StatementSharers,
    now: number,
  ): State | undefined;
  /** The stated value, as logged; undefined if it is no longer stated. */
  getValue(state: State): number | undefined;
  /** The share of this instance, as logged; undefined if nothing is divided. */
  getShare(state: State): number | undefined;
  /**
   * Computes the time until a request may be sent after those ahead of it, in
   * milliseconds.
   */
  computeWait(
    state: State,
    context: SendContext,
    now: number,
    requestsAhead: number,
  ): number;
  /** Returns the state after a request was sent. */
  recordSend(state: State, context: SendContext, now: number): State;
  /** Whether no request may be sent for the rest of the life. */
  isFinal(state: State): boolean;
  /** Whether requests are bound by the statement. */
  isBinding(state: State): boolean;
  /** Describes the state to other instances; undefined if it is not passed on. */
  describeNews(
    state: State,
    maximumHops: number,
    now: number,
  ): LimitNews | undefined;
  /** Returns the state after another instance passed news on. */
  acceptNews(state: State | undefined, news: LimitNews): State | undefined;
}
