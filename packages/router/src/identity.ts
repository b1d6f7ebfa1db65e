/** Identity of a running instance. */
import {randomUUID} from 'node:crypto';

export interface Identity {
  instanceId: string;
  dataCentre: string;
  /** Random id of this run; changes at every start. */
  incarnation: string;
}

/** Creates an identity with a new incarnation. */
export function createIdentity(
  instanceId: string,
  dataCentre: string,
): Identity {
  return {instanceId, dataCentre, incarnation: randomUUID()};
}
