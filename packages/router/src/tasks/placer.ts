/** Placement: which backend server a request should go to. */
import {ServiceState} from '@buckthornbeam/config';
import type {BackendServer, FileSet} from '@buckthornbeam/config';
import {placeRequest} from '@buckthornbeam/decisions';
import type {PlacementCandidate} from '@buckthornbeam/decisions';
import type {ServerLoad} from '@buckthornbeam/membership';
import {RouterError} from '@buckthornbeam/shared';
import type {RandomSource} from '@buckthornbeam/shared';
import type {AdmittedRequest} from './admission.js';

/** Options of {@link createPlacer}. */
export interface PlacerOptions {
  random: RandomSource;
  getFileSet: () => FileSet;
  /** Loads of all servers as far as known, own and reported by peers. */
  listLoads: () => ServerLoad[];
}

/** Chooses backend servers. */
export interface Placer {
  /** Returns a server's id; throws `no_server`. */
  place(admitted: AdmittedRequest): string;
}

/** Whether operators have the server and its data centre in service. */
export function isInService(set: FileSet, server: BackendServer): boolean {
  const dataCentre = set.dataCentres.get(server.dataCentre);
  return (
    server.state === ServiceState.IN && dataCentre?.state === ServiceState.IN
  );
}

/** Creates the placer of one instance. */
export function createPlacer(options: PlacerOptions): Placer {
  const {random, getFileSet, listLoads} = options;

  function listCandidates(model: string): PlacementCandidate[] {
    const set = getFileSet();
    const loads = new Map(listLoads().map(load => [load.serverId, load]));
    return [...set.servers.values()]
      .filter(
        server => isInService(set, server) && server.models.includes(model),
      )
      .map(server => {
        const load = loads.get(server.id);
        return {
          serverId: server.id,
          limit: load?.limit ?? server.capacity.startingRequests,
          inFlight: load?.inFlight ?? 0,
          queued: load?.queued ?? 0,
          sentSince: 0,
        };
      });
  }

  return {
    place: ({request}) => {
      const placed = placeRequest(listCandidates(request.model), random);
      if (!placed) {
        throw new RouterError('no_server', `no server holds ${request.model}`);
      }
      return placed.serverId;
    },
  };
}
