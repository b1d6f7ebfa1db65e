/** Views: ownership of servers as a pure function of the published data. */
import {OwnershipScope} from '@buckthornbeam/config';
import type {FileSet} from '@buckthornbeam/config';
import {computeDigest} from '@buckthornbeam/shared';
import {splitIntoCells} from './cells.js';
import type {Cell, CellMember} from './cells.js';
import type {ListedInstance} from './instance_list.js';
import {findOwnerHash, hashMember} from './ownership.js';

/** The fields of a file set that ownership depends on. */
export interface Topology {
  /** Ownership scope by data centre: its region, or the data centre itself. */
  readonly scopes: ReadonlyMap<string, string>;
  /** Data centre by backend server. */
  readonly servers: ReadonlyMap<string, string>;
}

/** Ownership under one instance list and one topology. */
export interface View {
  /** Digest of the inputs; equal on all instances with equal inputs. */
  readonly hash: string;
  /** Finds the members that jointly own a server. */
  findCellOfServer(serverId: string): Cell | undefined;
  findCellOfInstance(instanceId: string): Cell | undefined;
  findMember(instanceId: string): CellMember | undefined;
}

const VIEW_HASH_HEX_DIGITS = 16;

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
  return computeDigest(lines.sort().join('\n')).slice(0, VIEW_HASH_HEX_DIGITS);
}

/** The cells of one ownership scope. */
interface ScopeCells {
  /** Hashes of all members of the scope, ascending. */
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
  // Servers in a scope without instances are owned by instances of all scopes.
  const allCells = buildScopeCells([...members.values()]);
  const cells = new Map<string, Cell | undefined>();

  function computeCell(serverId: string): Cell | undefined {
    const dataCentre = topology.servers.get(serverId);
    if (dataCentre === undefined) {
      return undefined;
    }
    const scope = topology.scopes.get(dataCentre) ?? dataCentre;
    const {hashes, cellByHash} = scopeCells.get(scope) ?? allCells;
    const selectedHash = findOwnerHash(serverId, hashes);
    return selectedHash === undefined
      ? undefined
      : cellByHash.get(selectedHash);
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
