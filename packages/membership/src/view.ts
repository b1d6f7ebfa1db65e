/** A view: who owns what, as a pure function of what was published. */
import {OwnershipScope} from '@buckthornbeam/config';
import type {FileSet} from '@buckthornbeam/config';
import {computeDigest} from '@buckthornbeam/shared';
import {splitIntoCells} from './cells.js';
import type {Cell, CellMember} from './cells.js';
import type {ListedInstance} from './instance_list.js';
import {findOwnerHash, hashMember} from './ownership.js';

/** The part of a file set that ownership depends on. */
export interface Topology {
  /** Name of the ownership scope of each data centre. */
  readonly scopes: ReadonlyMap<string, string>;
  /** Data centre of each backend server. */
  readonly servers: ReadonlyMap<string, string>;
}

/** Ownership under one instance list and one topology. */
export interface View {
  /** Equal on all instances that compute from equal values. */
  readonly hash: string;
  /** Finds the members that own a server together. */
  findCellOfServer(serverId: string): Cell | undefined;
  /** Finds the cell of an instance. */
  findCellOfInstance(instanceId: string): Cell | undefined;
  findMember(instanceId: string): CellMember | undefined;
}

const HASH_LENGTH = 16;

/** Builds the topology of a file set. */
export function buildTopology(set: FileSet): Topology {
  const isRegional =
    set.files['service.json'].ownershipScope === OwnershipScope.REGION;
  return {
    scopes: new Map(
      [...set.dataCentres.values()].map(({id, region}) => [
        id,
        isRegional ? region : id,
      ]),
    ),
    servers: new Map(
      [...set.servers.values()].map(({id, dataCentre}) => [id, dataCentre]),
    ),
  };
}

function computeViewHash(
  list: readonly ListedInstance[],
  topology: Topology,
): string {
  const lines = [
    ...list.map(item => `i ${item.id} ${item.dataCentre}`),
    ...[...topology.scopes].map(pair => `d ${pair.join(' ')}`),
    ...[...topology.servers].map(pair => `s ${pair.join(' ')}`),
  ];
  return computeDigest(lines.sort().join('\n')).slice(0, HASH_LENGTH);
}

/** The cells of one ownership scope. */
interface ScopeCells {
  hashes: number[];
  cellByHash: Map<number, Cell>;
}

function buildScopeCells(members: readonly CellMember[]): ScopeCells {
  const sorted = [...members].sort((a, b) => a.hash - b.hash);
  const cellByHash = new Map<number, Cell>();
  for (const cell of splitIntoCells(sorted)) {
    for (const member of cell) {
      cellByHash.set(member.hash, cell);
    }
  }
  return {hashes: sorted.map(member => member.hash), cellByHash};
}

/** Builds the view of a list and a topology. */
export function buildView(
  list: readonly ListedInstance[],
  topology: Topology,
): View {
  const members = new Map<string, CellMember>();
  const byScope = new Map<string, CellMember[]>();
  const scopeOfInstance = new Map<string, string>();
  for (const {id, dataCentre} of list) {
    const member = {id, hash: hashMember(id)};
    const scope = topology.scopes.get(dataCentre) ?? dataCentre;
    members.set(id, member);
    scopeOfInstance.set(id, scope);
    byScope.set(scope, [...(byScope.get(scope) ?? []), member]);
  }
  const scopeCells = new Map(
    [...byScope].map(([scope, group]) => [scope, buildScopeCells(group)]),
  );
  // A scope without instances is owned by the instances of all scopes.
  const allCells = buildScopeCells([...members.values()]);
  const cells = new Map<string, Cell | undefined>();

  function computeCell(serverId: string): Cell | undefined {
    const dataCentre = topology.servers.get(serverId);
    if (dataCentre === undefined) {
      return undefined;
    }
    const scope = topology.scopes.get(dataCentre) ?? dataCentre;
    const {hashes, cellByHash} = scopeCells.get(scope) ?? allCells;
    const home = findOwnerHash(serverId, hashes);
    return home === undefined ? undefined : cellByHash.get(home);
  }

  return {
    hash: computeViewHash(list, topology),
    findCellOfServer: serverId => {
      if (!cells.has(serverId)) {
        cells.set(serverId, computeCell(serverId));
      }
      return cells.get(serverId);
    },
    findCellOfInstance: instanceId => {
      const member = members.get(instanceId);
      const scope = scopeOfInstance.get(instanceId);
      return member && scopeCells.get(scope!)!.cellByHash.get(member.hash);
    },
    findMember: instanceId => members.get(instanceId),
  };
}
