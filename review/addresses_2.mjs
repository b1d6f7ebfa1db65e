/** Splits `host:port`. */
export function splitAddress(address) {
  const [host, port] = address.split(':');
  return {host, port: Number(port)};
}
