/** Stand-ins as child processes, which tests can kill or suspend. */
import {fork} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {fileURLToPath} from 'node:url';

export const StandInKind = {
  ENGINE: 'engine',
  PLAIN_SERVICE: 'plain_service',
  CONFIGURATION_SERVICE: 'platform',
} as const;
export type StandInKind = (typeof StandInKind)[keyof typeof StandInKind];

/** Message to the child process: calls one method of the stand-in. */
export interface Command {
  id: number;
  method: string;
  args: unknown[];
}

/** Messages from the child process. */
export type StandInMessage =
  | {type: 'started'; address: string}
  | {type: 'event'; event: unknown}
  | {type: 'result'; id: number; value: unknown};

export interface StandInProcess {
  readonly address: string;
  readonly child: ChildProcess;
  /**
   * Calls a method of the stand-in and returns its result, which must survive
   * JSON. Never settles when the process dies before it answers.
   */
  call(method: string, ...args: unknown[]): Promise<unknown>;
  /** Kills the process and starts a new one at the same address. */
  replace(): Promise<void>;
  kill(): Promise<void>;
}

const mainPath = fileURLToPath(new URL('main.js', import.meta.url));

/** Kills a process with SIGKILL, also while it is stopped, and waits for its exit. */
export function endProcess(child: ChildProcess): Promise<void> {
  return new Promise(resolve => {
    if (child.exitCode !== null || child.signalCode !== null) {
      resolve();
      return;
    }
    child.once('exit', () => resolve());
    child.kill('SIGKILL');
  });
}

/**
 * Starts a stand-in; its events go to `onEvent` in order. Rejects when the
 * process exits before it has started.
 */
export async function startStandIn(
  kind: StandInKind,
  options: {port?: number} & Record<string, unknown>,
  onEvent: (event: never) => void = () => {},
): Promise<StandInProcess> {
  const pendingCalls = new Map<number, (value: unknown) => void>();
  let child: ChildProcess;
  let address = '';
  let lastId = 0;

  const handlers: {
    [T in StandInMessage['type']]: (
      message: Extract<StandInMessage, {type: T}>,
    ) => void;
  } = {
    started: message => {
      address = message.address;
    },
    event: message => onEvent(message.event as never),
    result: message => {
      pendingCalls.get(message.id)?.(message.value);
      pendingCalls.delete(message.id);
    },
  };

  async function startChild(port: number): Promise<void> {
    const encodedOptions = JSON.stringify({...options, port});
    child = fork(mainPath, [kind, encodedOptions]);
    await new Promise<void>((resolve, reject) => {
      child.once('exit', code =>
        reject(
          new DOMException(
            `${kind} stand-in exited with code ${code} before it had started`,
          ),
        ),
      );
      child.on('message', (message: StandInMessage) => {
        handlers[message.type](message as never);
        if (message.type === 'started') {
          resolve();
        }
      });
    });
  }

  await startChild(options.port ?? 0);
  return {
    get address() {
      return address;
    },
    get child() {
      return child;
    },
    call: (method, ...args) =>
      new Promise((resolve, reject) => {
        lastId += 1;
        pendingCalls.set(lastId, resolve);
        child.send({id: lastId, method, args}, error => {
          if (error) {
            reject(error);
          }
        });
      }),
    replace: async () => {
      await endProcess(child);
      await startChild(Number(address.split(':')[1]));
    },
    kill: () => endProcess(child),
  };
}
