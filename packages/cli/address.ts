/** Validates addresses of nodes given on the command line. */
import { UsageError } from './errors.js';

const ADDRESS_PATTERN = /^[A-Za-z0-9.-]+:(\d{1,5})$/;
const MAX_PORT = 65_535;

/** Returns the address unchanged. Throws {@link UsageError} unless it is a host and a port from 1 to 65535. */
export function validateAddress(text: string): string {
  const port = Number(ADDRESS_PATTERN.exec(text)?.[1] ?? 0);
  if (port >= 1 && port <= MAX_PORT) return text;
  throw new UsageError(`${text}: invalid address; expected HOST:PORT, such as 127.0.0.1:7070`);
}
