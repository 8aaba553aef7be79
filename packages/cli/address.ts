/** Addresses of nodes as operators write them. */
import { usageError } from './errors.js';

const ADDRESS = /^[A-Za-z0-9.-]+:(\d{1,5})$/;
const PORT_MOST = 65_535;

/** The address as given, or an error that says how one is written. */
export function checkAddress(text: string): string {
  const port = Number(ADDRESS.exec(text)?.[1] ?? 0);
  if (port >= 1 && port <= PORT_MOST) return text;
  throw usageError(`${text}: not an address; write HOST:PORT, such as 127.0.0.1:7070`);
}
