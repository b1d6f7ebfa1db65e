/**
 * Transitions of the ticket model; uses the ticket table of the real issuer.
 */
import {Outcome} from '@buckthornbeam/shared';
import {createKeyRegistry} from '../key_registry.js';
import {formatTicketId} from '../ticket.js';
import {createTicketTable} from '../ticket_table.js';
import type {
  TicketDecision,
  TicketResult,
  TicketTable,
} from '../ticket_table.js';
import type {
  FaultBudget,
  ModelInstance,
  ModelMessage,
  ModelState,
} from './state.js';

/** Options of {@link createTicketModel}. */
export interface TicketModelOptions {
  /** If false, tickets of other incarnations are executed: a planted fault. */
  isIncarnationChecked?: boolean;
  /** Maximum number of issued tickets, over both keys. */
  tickets?: number;
  /** Maximum number of messages in transit. */
  messages?: number;
}

/** The state space that is searched. */
export interface TicketModel {
  readonly initial: ModelState;
  listNextStates(state: ModelState): ModelState[];
  /** Describes the violated property; undefined if there is none. */
  findViolation(state: ModelState): string | undefined;
}

const INSTANCE_COUNT = 3;
const KEY_COUNT = 2;
/**
 * The instance with the registry of both keys. An instance that expects the
 * registry elsewhere is modelled as a registry that has lost its keys.
 */
const KEY_REGISTRY_INSTANCE = 2;
const TABLE_CAPACITY = 1;
const LIFETIME_MS = 10;

const initialBudget: FaultBudget = {
  replacements: 2,
  freezes: 1,
  duplicates: 1,
  handOvers: 1,
  expiries: 1,
};

function makeResult(outcome: Outcome): TicketResult {
  const body = new Uint8Array();
  return {outcome, code: '', detail: '', status: 0, contentType: '', body};
}

function formatIncarnation(index: number, run: number): string {
  return `${index}.${run}`;
}

function updateAt<T>(items: readonly T[], index: number, item: T): T[] {
  return items.map((old, position) => (position === index ? item : old));
}

export function createTicketModel(
  options: TicketModelOptions = {},
): TicketModel {
  const {isIncarnationChecked = true, tickets = 2, messages = 4} = options;

  function openTable(state: ModelState, index: number): TicketTable {
    const {run, table} = state.instances[index]!;
    return createTicketTable({
      incarnation: formatIncarnation(index, run),
      capacity: TABLE_CAPACITY,
      lifetimeMs: LIFETIME_MS,
      isIncarnationChecked,
      snapshot: table,
    });
  }

  function createInstance(index: number, run: number): ModelInstance {
    const incarnation = formatIncarnation(index, run);
    const table = createTicketTable({incarnation}).takeSnapshot();
    return {run, status: 'up', table, keys: []};
  }

  function updateInstance(
    state: ModelState,
    index: number,
    changes: Partial<ModelInstance>,
  ): ModelState {
    const changed = {...state.instances[index]!, ...changes};
    return {...state, instances: updateAt(state.instances, index, changed)};
  }

  function useBudget(state: ModelState, name: keyof FaultBudget): ModelState {
    const {budget} = state;
    return {...state, budget: {...budget, [name]: budget[name] - 1}};
  }

  function sendMessage(state: ModelState, message: ModelMessage): ModelState {
    return {...state, messages: [...state.messages, message]};
  }

  function reportOutcome(
    state: ModelState,
    ticket: number,
    outcome: Outcome,
  ): ModelState {
    return outcome === Outcome.NOT_RUN
      ? {...state, reportedNotRun: updateAt(state.reportedNotRun, ticket, true)}
      : state;
  }

  function findInstance(state: ModelState, incarnation: string): number {
    return state.instances.findIndex(
      ({run, status}, index) =>
        status === 'up' && formatIncarnation(index, run) === incarnation,
    );
  }

  /** Claims a ticket at one instance and applies the decision of its table. */
  function claimAt(
    state: ModelState,
    index: number,
    ticket: number,
  ): ModelState {
    const table = openTable(state, index);
    const {run} = state.instances[index]!;
    const decision = table.claim(state.tickets[ticket]!, state.now);
    const claimed = updateInstance(state, index, {table: table.takeSnapshot()});
    const handlers: {
      [T in TicketDecision['type']]: (
        item: Extract<TicketDecision, {type: T}>,
      ) => ModelState;
    } = {
      execute: () =>
        sendMessage(claimed, {
          type: 'execute',
          from: formatIncarnation(index, run),
          ticket,
        }),
      wait: () => claimed,
      replay: ({result}) => reportOutcome(claimed, ticket, result.outcome),
      refuse: ({outcome}) => reportOutcome(claimed, ticket, outcome),
    };
    return handlers[decision.type](decision as never);
  }

  function storeAt(
    state: ModelState,
    index: number,
    ticket: number,
    outcome: Outcome,
  ): ModelState {
    const table = openTable(state, index);
    table.store(state.tickets[ticket]!, makeResult(outcome));
    const stored = updateInstance(state, index, {table: table.takeSnapshot()});
    return reportOutcome(stored, ticket, outcome);
  }

  function claimKeyAt(
    state: ModelState,
    index: number,
    ticket: number,
  ): {state: ModelState; isGranted: boolean} {
    const registry = createKeyRegistry();
    const {keys} = state.instances[index]!;
    for (const [key, holder] of keys) {
      registry.claim(key, holder, 0);
    }
    const item = state.tickets[ticket]!;
    const ticketId = formatTicketId(item);
    const {isGranted} = registry.claim(String(item.key), ticketId, 0);
    const isNew = isGranted && keys.every(([key]) => key !== String(item.key));
    const added: Array<[string, string]> = [[String(item.key), ticketId]];
    return {
      isGranted,
      state: isNew
        ? updateInstance(state, index, {keys: [...keys, ...added]})
        : state,
    };
  }

  type MessageHandlers = {
    [T in ModelMessage['type']]: (
      state: ModelState,
      message: Extract<ModelMessage, {type: T}>,
    ) => ModelState | undefined;
  };

  function isUp(state: ModelState, index: number): boolean {
    return state.instances[index]!.status === 'up';
  }

  /**
   * A caller presents a ticket to an instance, directly or through another one.
   */
  function presentAt(
    state: ModelState,
    index: number,
    ticket: number,
  ): ModelState | undefined {
    if (openTable(state, index).hasRecord(state.tickets[ticket]!)) {
      return claimAt(state, index, ticket);
    }
    if (!isUp(state, KEY_REGISTRY_INSTANCE)) {
      return undefined;
    }
    const claim = claimKeyAt(state, KEY_REGISTRY_INSTANCE, ticket);
    const to = formatIncarnation(index, state.instances[index]!.run);
    return claim.isGranted
      ? sendMessage(claim.state, {type: 'key_granted', to, ticket})
      : claim.state;
  }

  /** Effects of a delivered message; undefined while it cannot be delivered. */
  const handlers: MessageHandlers = {
    key_granted: (state, {to, ticket}) => {
      const index = findInstance(state, to);
      return index < 0 ? undefined : claimAt(state, index, ticket);
    },
    execute: (state, {from, ticket}) => {
      const executions = updateAt(
        state.executions,
        ticket,
        state.executions[ticket]! + 1,
      );
      return sendMessage(
        {...state, executions},
        {type: 'executed', to: from, ticket},
      );
    },
    executed: (state, {to, ticket}) => {
      const index = findInstance(state, to);
      return index < 0
        ? undefined
        : storeAt(state, index, ticket, Outcome.COMPLETED);
    },
    adopt: (state, {to, handOver}) => {
      if (!isUp(state, to)) {
        return undefined;
      }
      const table = openTable(state, to);
      table.adopt(handOver, state.now);
      return updateInstance(state, to, {table: table.takeSnapshot()});
    },
  };

  function removeMessage(state: ModelState, index: number): ModelState {
    return {
      ...state,
      messages: state.messages.filter((_, position) => position !== index),
    };
  }

  /** The executing instance's connection fails, before or after a byte. */
  function failExecution(
    state: ModelState,
    message: Extract<ModelMessage, {type: 'execute' | 'executed'}>,
    outcome: Outcome,
  ): ModelState | undefined {
    const incarnation = message.type === 'execute' ? message.from : message.to;
    const index = findInstance(state, incarnation);
    return index < 0
      ? undefined
      : storeAt(state, index, message.ticket, outcome);
  }

  /**
   * Messages of a single attempt: no library retries, so none is duplicated.
   */
  const singleAttemptTypes = new Set<ModelMessage['type']>([
    'execute',
    'executed',
  ]);

  function* walkMessages(state: ModelState): Generator<ModelState | undefined> {
    for (const [index, message] of state.messages.entries()) {
      const without = removeMessage(state, index);
      const handler = handlers[message.type];
      yield handler(without, message as never);
      if (message.type === 'execute') {
        yield failExecution(without, message, Outcome.NOT_RUN);
        // A byte was sent, so the message may still be delivered.
        yield failExecution(state, message, Outcome.UNKNOWN);
      }
      if (message.type === 'executed') {
        yield failExecution(without, message, Outcome.UNKNOWN);
      }
      // A lost message is one that stays in transit, so loss needs no step.
      if (
        state.budget.duplicates > 0 &&
        !singleAttemptTypes.has(message.type)
      ) {
        yield handler(useBudget(state, 'duplicates'), message as never);
      }
    }
  }

  function* walkCallers(state: ModelState): Generator<ModelState | undefined> {
    for (let issuer = 0; issuer < INSTANCE_COUNT; issuer++) {
      if (state.tickets.length >= tickets || !isUp(state, issuer)) {
        continue;
      }
      const table = openTable(state, issuer);
      const issued = table.issue(state.now);
      const {run} = state.instances[issuer]!;
      const issuerIncarnation = formatIncarnation(issuer, run);
      const next = updateInstance(state, issuer, {table: table.takeSnapshot()});
      // The keys are interchangeable: the first ticket gets the first key.
      const keys = state.tickets.length === 0 ? 1 : KEY_COUNT;
      for (let key = 0; key < keys; key++) {
        const ticket = {...issued, issuer, issuerIncarnation, key};
        yield {
          ...next,
          tickets: [...state.tickets, ticket],
          executions: [...state.executions, 0],
          reportedNotRun: [...state.reportedNotRun, false],
        };
      }
    }
    yield* walkPresentations(state);
  }

  /** Presents each ticket to its issuer's address and to its adopters. */
  function* walkPresentations(
    state: ModelState,
  ): Generator<ModelState | undefined> {
    for (const [ticket, item] of state.tickets.entries()) {
      for (let to = 0; to < INSTANCE_COUNT; to++) {
        const isTarget =
          to === item.issuer ||
          openTable(state, to).hasIncarnation(item.issuerIncarnation);
        if (isTarget && isUp(state, to)) {
          yield presentAt(state, to, ticket);
        }
      }
    }
  }

  function* walkInstanceFaults(
    state: ModelState,
    index: number,
  ): Generator<ModelState> {
    const {run, status} = state.instances[index]!;
    const {budget} = state;
    if (budget.replacements > 0) {
      const replaced = createInstance(index, run + 1);
      yield {
        ...updateInstance(useBudget(state, 'replacements'), index, replaced),
        isKeyRegistryLost:
          state.isKeyRegistryLost || index === KEY_REGISTRY_INSTANCE,
      };
    }
    if (status === 'up' && budget.freezes > 0) {
      const frozen = useBudget(state, 'freezes');
      yield updateInstance(frozen, index, {status: 'frozen'});
    }
    if (status === 'frozen') {
      yield updateInstance(state, index, {status: 'up'});
    }
    if (status === 'up' && budget.handOvers > 0) {
      yield* walkHandOvers(useBudget(state, 'handOvers'), index);
    }
  }

  function* walkHandOvers(
    state: ModelState,
    index: number,
  ): Generator<ModelState> {
    for (let to = 0; to < INSTANCE_COUNT; to++) {
      if (to === index || !isUp(state, to)) {
        continue;
      }
      const table = openTable(state, index);
      const successor = formatIncarnation(to, state.instances[to]!.run);
      let next: ModelState = state;
      for (const handOver of table.handOver(successor, state.now)) {
        next = sendMessage(next, {type: 'adopt', to, handOver});
      }
      // The instance stays up and answers until it is replaced.
      yield updateInstance(next, index, {table: table.takeSnapshot()});
    }
  }

  /**
   * Whether a fault has an effect: the instance has state or expects a message.
   */
  function isInvolved(state: ModelState, index: number): boolean {
    const {run, table, keys} = state.instances[index]!;
    const incarnation = formatIncarnation(index, run);
    return (
      keys.length > 0 ||
      table.incarnations.length > 1 ||
      table.incarnations[0]!.issued > 0 ||
      state.messages.some(message =>
        message.type === 'adopt'
          ? message.to === index
          : message.type !== 'execute' && message.to === incarnation,
      )
    );
  }

  function* walkFaults(state: ModelState): Generator<ModelState> {
    for (let index = 0; index < INSTANCE_COUNT; index++) {
      if (isInvolved(state, index)) {
        yield* walkInstanceFaults(state, index);
      }
    }
    if (state.tickets.length > 0 && state.budget.expiries > 0) {
      yield {
        ...useBudget(state, 'expiries'),
        now: state.now + LIFETIME_MS,
      };
    }
  }

  return {
    initial: {
      now: 0,
      instances: Array.from({length: INSTANCE_COUNT}, (_, index) =>
        createInstance(index, 0),
      ),
      messages: [],
      tickets: [],
      executions: [],
      reportedNotRun: [],
      isKeyRegistryLost: false,
      budget: initialBudget,
    },
    listNextStates: state =>
      [
        ...walkMessages(state),
        ...walkCallers(state),
        ...walkFaults(state),
      ].filter(
        (next): next is ModelState =>
          next !== undefined && next.messages.length <= messages,
      ),
    findViolation: state => {
      if (state.executions.some(count => count > 1)) {
        return 'a ticket was executed more than once';
      }
      const isReportFalse = state.reportedNotRun.some(
        (isReported, ticket) => isReported && state.executions[ticket]! > 0,
      );
      if (isReportFalse) {
        return 'a caller received "not run" for a ticket that was executed';
      }
      const executedKeys = state.tickets
        .filter((_, ticket) => state.executions[ticket]! > 0)
        .map(ticket => ticket.key);
      const isKeyRepeated = new Set(executedKeys).size < executedKeys.length;
      return isKeyRepeated && !state.isKeyRegistryLost
        ? 'a key was executed under two tickets'
        : undefined;
    },
  };
}
