/** The list of instances that the configuration service publishes. */

/** One instance of the published list. */
export interface ListedInstance {
  id: string;
  dataCentre: string;
  /** `host:port` for callers. */
  callerAddress: string;
  /** `host:port` for calls from other instances. */
  peerAddress: string;
  leaving: boolean;
}
