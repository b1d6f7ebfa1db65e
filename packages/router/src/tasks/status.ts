/** Status report of an instance, for operators. */
import type {FileSet} from '@buckthornbeam/config';
import type {Identity} from '../identity.js';
import type {Member} from './member.js';
import type {PeerTraffic} from '../peer_server.js';
import type {Owner} from './owner.js';

/** Options of {@link describeStatus}. */
export interface StatusOptions {
  identity: Identity;
  member: Member;
  owner: Owner;
  fileSet: FileSet | undefined;
  isLeaving: boolean;
  peerTraffic: PeerTraffic;
}

/** Returns the status as a JSON value. */
export function describeStatus(
  options: StatusOptions,
): Record<string, unknown> {
  const {identity, member, owner, fileSet, isLeaving, peerTraffic} = options;
  const loads = new Map(owner.listLoads().map(load => [load.serverId, load]));
  return {
    instance: identity.instanceId,
    incarnation: identity.incarnation,
    dataCentre: identity.dataCentre,
    ready: fileSet !== undefined,
    leaving: isLeaving,
    fileSet: fileSet?.version ?? null,
    peerTraffic,
    peers: member.listPeers().map(peer => ({
      id: peer.id,
      state: peer.state,
      ready: peer.ready,
      fileSet: peer.fileSet ?? null,
    })),
    servers: [...(fileSet?.servers.keys() ?? [])].map(serverId => ({
      id: serverId,
      owner: member.findOwner(serverId) ?? null,
      ...loads.get(serverId),
    })),
  };
}
