/** Addresses of the form `host:port`. */

export interface AddressParts {
  host: string;
  port: number;
}

/** Splits an address at its last colon. */
export function splitAddress(address: string): AddressParts {
  const colon = address.lastIndexOf(':');
  return {
    host: address.slice(0, colon),
    port: Number(address.slice(colon + 1)),
  };
}
