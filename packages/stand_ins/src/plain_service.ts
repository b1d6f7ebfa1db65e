/** Stand-in for a plain service: it counts how often each call was executed. */
import {H3} from 'h3';
import {serveApp} from './http_server.js';

/** Options of {@link startPlainService}. */
export interface PlainServiceOptions {
  port?: number;
  /** Time that one call takes, in milliseconds. */
  callMs?: number;
  /** Takes the reference of each execution when it begins. */
  onExecution?: (reference: string) => void;
}

/** A running plain service. */
export interface PlainServiceStandIn {
  readonly address: string;
  /** Executions by the `reference` field of the body. */
  countExecutions(reference: string): number;
  countAllExecutions(): number;
  /** Holds the answers of executed calls back until it is released. */
  setHold(isHeld: boolean): void;
  close(): Promise<void>;
}

const DEFAULT_CALL_MS = 5;

/** Starts a plain service on loopback. */
export async function startPlainService(
  options: PlainServiceOptions = {},
): Promise<PlainServiceStandIn> {
  const {callMs = DEFAULT_CALL_MS} = options;
  const executions = new Map<string, number>();
  let total = 0;
  let release: (() => void) | undefined;
  let hold = Promise.resolve();
  const app = new H3({silent: true});
  app.all('/**', async event => {
    const text = await event.req.text();
    const reference = text
      ? String((JSON.parse(text) as {reference?: string}).reference)
      : 'none';
    const count = (executions.get(reference) ?? 0) + 1;
    executions.set(reference, count);
    total += 1;
    options.onExecution?.(reference);
    await hold;
    await new Promise(resolve => setTimeout(resolve, callMs));
    return Response.json({reference, execution: total});
  });
  const server = await serveApp(app, options.port);
  return {
    address: server.address,
    countExecutions: reference => executions.get(reference) ?? 0,
    countAllExecutions: () => total,
    setHold: isHeld => {
      release?.();
      hold = isHeld
        ? new Promise(resolve => {
            release = resolve;
          })
        : Promise.resolve();
    },
    close: () => server.close(),
  };
}
