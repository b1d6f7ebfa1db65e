/** Stand-in for a plain service that counts the executions of each call. */
import {H3} from 'h3';
import {serveApp} from './http_server.js';

/** Options of {@link startPlainService}. */
export interface PlainServiceOptions {
  port?: number;
  /** Duration of one call. */
  callMs?: number;
  /** Called with the reference of each execution at its start. */
  onExecution?: (reference: string) => void;
}

export interface PlainServiceStandIn {
  readonly address: string;
  /** Counts the executions with this `reference` field in the body. */
  countExecutions(reference: string): number;
  countAllExecutions(): number;
  /** Delays the responses of executed calls until it is called with false. */
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
  let resolveHold: (() => void) | undefined;
  let released = Promise.resolve();
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
    await released;
    await new Promise(resolve => setTimeout(resolve, callMs));
    return Response.json({reference, execution: total});
  });
  const server = await serveApp(app, options.port);
  return {
    address: server.address,
    countExecutions: reference => executions.get(reference) ?? 0,
    countAllExecutions: () => total,
    setHold: isHeld => {
      resolveHold?.();
      released = isHeld
        ? new Promise(resolve => {
            resolveHold = resolve;
          })
        : Promise.resolve();
    },
    close: () => server.close(),
  };
}
