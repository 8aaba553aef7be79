/** Addresses of nodes as operators write them. */
import { UsageError } from './errors.js';

const ADDRESS_PATTERN = /^[A-Za-z0-9.-]+:(\d{1,5})$/;
const MAX_PORT = 65_535;

/** The address as given; fails with {@link UsageError} that says how one is written. */
export function checkAddress(text: string): string {
  const port = Number(ADDRESS_PATTERN.exec(text)?.[1] ?? 0);
  if (port >= 1 && port <= MAX_PORT) return text;
  throw new UsageError(`${text}: not an address; write HOST:PORT, such as 127.0.0.1:7070`);
}
