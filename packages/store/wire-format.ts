/** Requests and answers of the key-value store in its own words. */
import { type WireFields, isWireFields, type HttpReply } from '#wire';
import type { Change, CommitResult, Guard, Row, Write } from './rows.js';

/** The epoch that an answer shows; NaN if it shows none. */
export function decodeEpoch(body: WireFields): number {
  return Number(body['Epoch']);
}

/** A value; what isn't a map of fields is taken for an empty one. */
export function decodeValue(value: unknown): WireFields {
  return isWireFields(value) ? value : {};
}

/** The row that a request for one key is answered with. */
export function decodeRow(path: string, body: WireFields): Row {
  return { path, value: decodeValue(body['V']), revision: Number(body['Stamp']) };
}

/** The rows of a page. */
export function decodeRows(body: WireFields): Row[] {
  return listOf(body['Rows']).map((row) => decodeRow(String(row['Path']), row));
}

/** The changes that a request to follow the keys is answered with. */
export function decodeChanges(body: WireFields): Change[] {
  return listOf(body['News']).map((entry) => {
    const revision = Number(entry['Stamp']);
    const isRemoval = entry['Set'] === undefined || entry['Set'] === null;
    if (isRemoval) return { path: String(entry['Remove']), revision, value: null };
    return { path: String(entry['Set']), revision, value: decodeValue(entry['V']) };
  });
}

/** The body of a commit. */
export function encodeCommit(guards: readonly Guard[], writes: readonly Write[]): WireFields {
  return {
    Guards: guards.map((guard) => ({ Path: guard.path, Stamp: guard.revision })),
    Writes: writes.map(encodeWrite),
  };
}

function encodeWrite(write: Write): WireFields {
  if ('remove' in write) return { Remove: write.remove };
  const body: WireFields = { Set: write.set, V: write.value };
  if (write.leaseId !== undefined) body['Permit'] = write.leaseId;
  return body;
}

/** What the answer to a commit says became of it. Whether its epoch is to be believed is for the caller to judge. */
export function decodeCommitResult({ status, body }: HttpReply): CommitResult {
  const epoch = decodeEpoch(body);
  if (status === 200) return { kind: 'applied', epoch };
  if (status === 409) {
    const failed = Array.isArray(body['failed']) ? body['failed'].map(String) : [];
    return { kind: 'refused', failed, epoch };
  }
  if (status === 400 && body['error'] === 'no such lease') return { kind: 'no_permit' };
  if (status >= 400) return { kind: 'not_executed', status };
  return { kind: 'unknown' };
}

function listOf(value: unknown): WireFields[] {
  return Array.isArray(value) ? value.filter(isWireFields) : [];
}
