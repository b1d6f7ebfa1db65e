/**
 * Spreads the reading of bodies over turns of the event loop. A sender may split a
 * body into pieces of one byte: one read of a connection then brings ten thousand
 * pieces, libuv reads a connection many times in a turn, and nobody else is served
 * meanwhile. Between two turns the connection is held, not the body: a paused body
 * would keep what node:http reads ahead piece by piece.
 */
import type {Socket} from 'node:net';
import type {Readable} from 'node:stream';

/** A body that is read in flowing mode, such as that of an HTTP message. */
export interface PacedBody extends Readable {
  socket?: Socket | null;
  /** Whether the whole message was received. */
  complete?: boolean;
}

export interface ReadPacer {
  /** Counts handled pieces; after many, reading pauses until the next turn. */
  countPieces(count: number): void;
  /**
   * Pauses for the consumer of the body, until {@link ReadPacer.resume}. Pieces
   * that were read already are still delivered.
   */
  pause(): void;
  resume(): void;
}

/** Holds back the reading of a connection, also while node:http resumes it. */
interface SocketGate {
  hold(): void;
  release(): void;
}

/** Pieces after which the other connections get their turn. */
const PIECES_PER_TURN = 256;

const gates = new WeakMap<Socket, SocketGate>();

function createSocketGate(socket: Socket): SocketGate {
  const pause = socket.pause.bind(socket);
  const resume = socket.resume.bind(socket);
  let isHeld = false;
  let isReadingWanted = true;
  // node:http calls these methods to read ahead and for its own back pressure.
  socket.pause = () => {
    isReadingWanted = false;
    return pause();
  };
  socket.resume = () => {
    isReadingWanted = true;
    return isHeld ? socket : resume();
  };
  return {
    hold: () => {
      isHeld = true;
      pause();
    },
    release: () => {
      isHeld = false;
      if (isReadingWanted) {
        resume();
      }
    },
  };
}

function getSocketGate(socket: Socket): SocketGate {
  let gate = gates.get(socket);
  if (!gate) {
    gate = createSocketGate(socket);
    gates.set(socket, gate);
  }
  return gate;
}

/** Bodies that wait for a turn; one list for all, as there is one event loop. */
const waiting: Array<() => void> = [];

/** Lets one body go on in each turn, however many wait. */
function resumeNext(): void {
  waiting.shift()?.();
  if (waiting.length > 0) {
    setImmediate(resumeNext);
  }
}

function waitForTurn(resume: () => void): void {
  waiting.push(resume);
  if (waiting.length === 1) {
    setImmediate(resumeNext);
  }
}

export function createReadPacer(body: PacedBody): ReadPacer {
  let pieces = 0;
  let isPausedByConsumer = false;
  let isWaitingForTurn = false;
  let heldGate: SocketGate | undefined;

  function updateGate(): void {
    const {socket} = body;
    // After a complete message, its connection may be in use for the next one.
    const canHold = socket && !body.complete && !body.destroyed;
    const shouldHold = isPausedByConsumer || isWaitingForTurn;
    if (shouldHold && canHold && !heldGate) {
      heldGate = getSocketGate(socket);
      heldGate.hold();
    } else if (!shouldHold && heldGate) {
      heldGate.release();
      heldGate = undefined;
    }
  }

  function endTurn(): void {
    updateGate();
    waitForTurn(() => {
      isWaitingForTurn = false;
      updateGate();
    });
  }

  return {
    countPieces: count => {
      pieces += count;
      if (pieces >= PIECES_PER_TURN && !isWaitingForTurn) {
        pieces = 0;
        isWaitingForTurn = true;
        // The pieces of this read come first.
        process.nextTick(endTurn);
      }
    },
    pause: () => {
      isPausedByConsumer = true;
      process.nextTick(updateGate);
    },
    resume: () => {
      isPausedByConsumer = false;
      updateGate();
    },
  };
}
