/** Codecs of the key-value store's requests and answers. Only this file knows most names of the store's protocol. */
import { type WireFields, isWireFields, type HttpReply } from '#wire';
import type { Change, CommitResult, Guard, Row, Write } from './rows.js';

/** Reads the store's revision from an answer. Returns NaN if the answer has none. */
export function decodeRevision(body: WireFields): number {
  return Number(body['Epoch']);
}

/** Reads the value of a row. Anything but a map of fields counts as an empty map. */
export function decodeValue(value: unknown): WireFields {
  return isWireFields(value) ? value : {};
}

/** Reads the row from the answer to a read of one key. */
export function decodeRow(path: string, body: WireFields): Row {
  return { path, value: decodeValue(body['V']), revision: Number(body['Stamp']) };
}

/** Reads the rows of a page. */
export function decodeRows(body: WireFields): Row[] {
  return decodeMaps(body['Rows']).map((row) => decodeRow(String(row['Path']), row));
}

/** Reads the changes from the answer to a watch. */
export function decodeChanges(body: WireFields): Change[] {
  return decodeMaps(body['News']).map((entry) => {
    const revision = Number(entry['Stamp']);
    const isRemoval = entry['Set'] === undefined || entry['Set'] === null;
    if (isRemoval) return { path: String(entry['Remove']), revision, value: null };
    return { path: String(entry['Set']), revision, value: decodeValue(entry['V']) };
  });
}

/** Encodes the body of a commit. */
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

/** Reads the result of a commit from its answer. The caller has to apply the revision check to the answer. */
export function decodeCommitResult({ status, body }: HttpReply): CommitResult {
  const revision = decodeRevision(body);
  if (status === 200) return { kind: 'applied', revision };
  if (status === 409) {
    const failed = Array.isArray(body['failed']) ? body['failed'].map(String) : [];
    return { kind: 'refused', failed, revision };
  }
  if (status === 400 && body['error'] === 'no such lease') return { kind: 'lease_expired' };
  if (status >= 400) return { kind: 'not_executed', status };
  return { kind: 'unknown' };
}

function decodeMaps(value: unknown): WireFields[] {
  return Array.isArray(value) ? value.filter(isWireFields) : [];
}
