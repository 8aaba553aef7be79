/** Cuts drafts of records that are too large for a value. */
import { jsonBytes } from '#wire';
import type { StoredRecordDraft, StoredStartGroup } from './record-codec.js';

/** What an empty draft takes. */
const EMPTY_BYTES = 2;

/** Fields of a draft that are plain lists, in the order in which a cut draft carries them. */
const LISTS = [
  ...(['removed', 'machines', 'settledRentals', 'rentals', 'moves'] as const),
  ...(['ends', 'statuses', 'takes', 'releases'] as const),
] as const;

/**
 * Cuts a draft into parts that each fit into one value, ends before starts, so that no prefix of the parts
 * holds a start that relies on an end after it.
 */
export function splitDraft(draft: StoredRecordDraft, limit: number): StoredRecordDraft[] {
  const parts: StoredRecordDraft[] = [{}];
  let size = EMPTY_BYTES;
  const room = (bytes: number): StoredRecordDraft => {
    if (size > EMPTY_BYTES && size + bytes > limit) {
      parts.push({});
      size = EMPTY_BYTES;
    }
    size += bytes;
    return parts[parts.length - 1] as StoredRecordDraft;
  };
  for (const key of LISTS) {
    for (const row of draft[key] ?? []) {
      const part = room(jsonBytes(row) + key.length + 6) as Record<string, unknown[]>;
      (part[key] ??= []).push(row);
    }
  }
  for (const [shape, row] of Object.entries(draft.prices ?? {})) {
    (room(jsonBytes(row) + jsonBytes(shape) + 14).prices ??= {})[shape] = row;
  }
  for (const [team, cpus] of Object.entries(draft.unmet ?? {})) {
    (room(jsonBytes(team) + 34).unmet ??= {})[team] = cpus;
  }
  for (const group of draft.starts ?? []) {
    const head = jsonBytes({ ...group, tasks: [] }) + 14;
    let open: StoredStartGroup | null = null;
    let holder: StoredRecordDraft | null = null;
    for (const on of group.tasks) {
      const part = room(jsonBytes(on) + 1 + (open ? 0 : head));
      if (!open || part !== holder) {
        if (open) size += head;
        open = { ...group, tasks: [] };
        holder = part;
        (part.starts ??= []).push(open);
      }
      open.tasks.push(on);
    }
  }
  return parts;
}
