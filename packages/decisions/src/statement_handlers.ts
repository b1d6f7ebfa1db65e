/** The handlers of all kinds of statement. */
import {leavingHandler} from './leaving_handler.js';
import {limitHandler} from './limit_handler.js';
import {pauseHandler} from './pause_handler.js';
import {StatementKind} from './statement.js';
import type {StatementHandler} from './statement_handler.js';

export const handlers: Readonly<
  Record<StatementKind, StatementHandler<unknown>>
> = {
  [StatementKind.LEAVING]: leavingHandler,
  [StatementKind.LIMIT]: limitHandler,
  [StatementKind.PAUSE]: pauseHandler,
};

export const kinds = Object.values(StatementKind);
