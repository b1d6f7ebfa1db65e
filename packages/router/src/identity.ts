/** Identity of this run of this instance. */
import {randomUUID} from 'node:crypto';

/** An instance and its incarnation. */
export interface Identity {
  instanceId: string;
  dataCentre: string;
  /** Differs in every run, also at the same address. */
  incarnation: string;
}

/** Creates the identity of a new run. */
export function createIdentity(
  instanceId: string,
  dataCentre: string,
): Identity {
  return {instanceId, dataCentre, incarnation: randomUUID()};
}
