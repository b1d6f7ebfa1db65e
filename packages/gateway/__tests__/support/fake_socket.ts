/** The parts of a connection that its limits read, without a network. */
import {EventEmitter} from 'node:events';
import type {Socket} from 'node:net';

export class FakeSocket extends EventEmitter {
  bytesRead = 0;
  destroyed = false;

  constructor(readonly name: string) {
    super();
  }

  /** Emits `close` later, as a real socket does. */
  destroy(): void {
    this.destroyed = true;
    queueMicrotask(() => this.emit('close'));
  }

  toSocket(): Socket {
    return this as unknown as Socket;
  }
}
