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
  /** Ends the pacing; the connection is held no longer. */
  stop(): void;
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
  /** Bodies and turns that hold the connection. */
  let holds = 0;
  let isReadingWanted = !socket.isPaused();
  // node:http calls these methods to read ahead and for its own back pressure.
  socket.pause = () => {
    isReadingWanted = false;
    return pause();
  };
  socket.resume = () => {
    isReadingWanted = true;
    return holds > 0 ? socket : resume();
  };
  return {
    hold: () => {
      holds += 1;
      pause();
    },
    release: () => {
      holds -= 1;
      if (holds === 0 && isReadingWanted && !socket.destroyed) {
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

/**
 * Pieces in one turn after which nothing more is read in it. One read of a connection
 * brings up to 11,000 pieces, which take 20 ms and more.
 */
const MAXIMUM_TURN_PIECES = 16_384;

/** Lists connections that may bring many pieces with their next read. */
type ListSockets = () => Iterable<Socket>;

const socketSources = new Set<ListSockets>();
let turnPieces = 0;

/**
 * Holds these connections for the rest of a turn that has read many small pieces, also
 * the first read of each. The returned function ends that.
 */
export function addPacedSockets(listSockets: ListSockets): () => void {
  socketSources.add(listSockets);
  return () => socketSources.delete(listSockets);
}

function pauseUntilNextTurn(): void {
  const held: SocketGate[] = [];
  for (const listSockets of socketSources) {
    for (const socket of listSockets()) {
      const gate = getSocketGate(socket);
      gate.hold();
      held.push(gate);
    }
  }
  setImmediate(() => {
    turnPieces = 0;
    held.forEach(gate => gate.release());
  });
}

/** Counts pieces that were read in this turn; after many, nothing more is read in it. */
export function countTurnPieces(count: number): void {
  if (turnPieces === 0) {
    setImmediate(() => {
      turnPieces = 0;
    });
  }
  const wasFull = turnPieces > MAXIMUM_TURN_PIECES;
  turnPieces += count;
  if (!wasFull && turnPieces > MAXIMUM_TURN_PIECES) {
    process.nextTick(pauseUntilNextTurn);
  }
}

/** A body that waits for its turn. */
interface WaitingBody {
  resume: () => void;
  isClosed: () => boolean;
  /** Gives the body up; undefined if it must not be. */
  giveUp: (() => void) | undefined;
}

/**
 * Bodies in small pieces that may wait at the same time. What each of them has sent
 * already takes seconds to read, and nobody hears meanwhile that its sender is gone.
 */
const MAXIMUM_WAITING = 4;

/** Bodies that wait for a turn; one list for all, as there is one event loop. */
let waiting: WaitingBody[] = [];
let isScheduled = false;

/** Lets one body go on in each turn, however many wait. */
function resumeNext(): void {
  const closed = waiting.filter(body => body.isClosed());
  closed.forEach(body => body.resume());
  waiting = waiting.filter(body => !closed.includes(body));
  waiting.shift()?.resume();
  isScheduled = waiting.length > 0;
  if (isScheduled) {
    setImmediate(resumeNext);
  }
}

function waitForTurn(body: WaitingBody): void {
  if (body.giveUp && waiting.length >= MAXIMUM_WAITING) {
    body.giveUp();
    return;
  }
  waiting.push(body);
  if (!isScheduled) {
    isScheduled = true;
    setImmediate(resumeNext);
  }
}

/** Options of {@link createReadPacer}. */
export interface ReadPacerOptions {
  /**
   * Called if too many other bodies in small pieces wait; it stops the pacing and
   * closes the connection of this one. Without it, the body waits in any case.
   */
  onCrowded?: () => void;
}

export function createReadPacer(
  body: PacedBody,
  {onCrowded}: ReadPacerOptions = {},
): ReadPacer {
  let pieces = 0;
  let isPausedByConsumer = false;
  let isWaitingForTurn = false;
  let isStopped = false;
  let heldGate: SocketGate | undefined;

  function updateGate(): void {
    const {socket} = body;
    // After a complete message, its connection may be in use for the next one.
    const canHold = socket && !body.complete && !body.destroyed;
    const shouldHold = !isStopped && (isPausedByConsumer || isWaitingForTurn);
    if (shouldHold && canHold && !heldGate) {
      heldGate = getSocketGate(socket);
      heldGate.hold();
    } else if (!shouldHold && heldGate) {
      heldGate.release();
      heldGate = undefined;
    }
  }

  function endTurn(): void {
    if (isStopped) {
      return;
    }
    updateGate();
    waitForTurn({
      resume: () => {
        isWaitingForTurn = false;
        updateGate();
      },
      isClosed: () => body.destroyed || isStopped,
      giveUp: onCrowded,
    });
  }

  return {
    countPieces: count => {
      if (isStopped) {
        return;
      }
      pieces += count;
      countTurnPieces(count);
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
    stop: () => {
      isStopped = true;
      updateGate();
    },
  };
}
