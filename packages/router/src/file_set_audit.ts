/** Audit records for the replacement of one file set by another. */
import {ServiceState, diffFileSets} from '@buckthornbeam/config';
import type {FileSet} from '@buckthornbeam/config';
import type {LogFields} from '@buckthornbeam/shared';

/** One line of the audit log. */
export interface AuditRecord {
  change: string;
  fields: LogFields;
}

interface ItemWithState {
  state: ServiceState;
}

/** Names that audit records use for items of one kind. */
interface ItemKind {
  /** Log field with the item's id. */
  idField: string;
  /** Change names for items whose state became `in` or `out`. */
  in: string;
  out: string;
  added: string;
  removed: string;
}

const serverKind: ItemKind = {
  idField: 'server',
  in: 'server_in',
  out: 'server_out',
  added: 'server_added',
  removed: 'server_removed',
};

const dataCentreKind: ItemKind = {
  idField: 'dataCentre',
  in: 'data_centre_in',
  out: 'data_centre_out',
  added: 'data_centre_added',
  removed: 'data_centre_removed',
};

function findChangeName(
  kind: ItemKind,
  before: ItemWithState | undefined,
  after: ItemWithState | undefined,
): string | undefined {
  if (!before) {
    return kind.added;
  }
  if (!after) {
    return kind.removed;
  }
  if (before.state === after.state) {
    return undefined;
  }
  return after.state === ServiceState.IN ? kind.in : kind.out;
}

function listItemRecords(
  kind: ItemKind,
  before: ReadonlyMap<string, ItemWithState>,
  after: ReadonlyMap<string, ItemWithState>,
): AuditRecord[] {
  const ids = new Set([...before.keys(), ...after.keys()]);
  return [...ids].flatMap(id => {
    const change = findChangeName(kind, before.get(id), after.get(id));
    return change ? [{change, fields: {[kind.idField]: id}}] : [];
  });
}

/**
 * Lists the audit records for a new file set: one for the set as a whole, then
 * one for each data centre and server that was added, removed, or taken in or
 * out of service.
 */
export function listFileSetRecords(
  before: FileSet,
  after: FileSet,
): AuditRecord[] {
  const changes = diffFileSets(before, after);
  const files = [...new Set(changes.map(change => change.file))];
  const {basedOn} = after.files['service.json'];
  const records = [
    {
      change: 'file_set_changed',
      fields: {
        fromRevision: before.version.revision,
        toRevision: after.version.revision,
        changes: changes.length,
        files: files.join(','),
        followsInForce: basedOn === before.version.digest,
      },
    },
    ...listItemRecords(dataCentreKind, before.dataCentres, after.dataCentres),
    ...listItemRecords(serverKind, before.servers, after.servers),
  ];
  const {revision} = after.version;
  return records.map(({change, fields}) => ({
    change,
    fields: {...fields, revision},
  }));
}
