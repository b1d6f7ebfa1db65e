/** The published list of entry instances. */

/** An entry instance as the platform lists it. */
export interface ListedInstance {
  id: string;
  dataCentre: string;
  /** `host:port` for callers. */
  callerAddress: string;
  /** `host:port` for other instances. */
  peerAddress: string;
  leaving: boolean;
}
