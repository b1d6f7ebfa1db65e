/** Stand-ins in processes of their own, to be killed and frozen by their pid. */
import {fork} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {fileURLToPath} from 'node:url';

/** What a process stands in for. */
export const StandInKind = {
  ENGINE: 'engine',
  PLAIN_SERVICE: 'plain_service',
  PLATFORM: 'platform',
} as const;
export type StandInKind = (typeof StandInKind)[keyof typeof StandInKind];

/** A call of one method of the stand-in. */
export interface Command {
  id: number;
  method: string;
  args: unknown[];
}

/** Messages from the process. */
export type StandInMessage =
  | {type: 'started'; address: string}
  | {type: 'event'; event: unknown}
  | {type: 'result'; id: number; value: unknown};

/** A stand-in that runs in its own process. */
export interface StandInProcess {
  readonly address: string;
  readonly child: ChildProcess;
  /** Calls a method of the stand-in and returns what it returned. */
  call(method: string, ...args: unknown[]): Promise<unknown>;
  /** Kills the process and starts another at the same address. */
  replace(): Promise<void>;
  kill(): Promise<void>;
}

const mainPath = fileURLToPath(new URL('main.js', import.meta.url));

/** Kills a process that may be frozen, and waits for its end. */
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

/** Starts a stand-in; its events go to `onEvent` in their order. */
export async function startStandIn(
  kind: StandInKind,
  options: {port?: number} & Record<string, unknown>,
  onEvent: (event: never) => void = () => {},
): Promise<StandInProcess> {
  const pending = new Map<number, (value: unknown) => void>();
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
      pending.get(message.id)?.(message.value);
      pending.delete(message.id);
    },
  };

  async function startChild(port: number): Promise<void> {
    const settings = JSON.stringify({...options, port});
    child = fork(mainPath, [kind, settings]);
    await new Promise<void>((resolve, reject) => {
      child.once('exit', code =>
        reject(new DOMException(`${kind} ended: ${code}`)),
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
        pending.set(lastId, resolve);
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
