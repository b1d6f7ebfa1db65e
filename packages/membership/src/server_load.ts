/** Load of backend servers as their owners report it. */

/** Load of one backend server as its owner reports it. */
export interface ServerLoad {
  serverId: string;
  limit: number;
  inFlight: number;
  queued: number;
}
