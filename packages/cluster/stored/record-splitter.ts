/** Splits drafts of records that are too large for one value of the state service. */
import type { StoredRecordDraft, StoredStartGroup } from './record-codec.js';
import { jsonBytes } from '#wire';

/** Bytes of an empty draft. */
const EMPTY_DRAFT_BYTES = 2;
/** Bytes that are allowed for a row beside the row itself and the name of its field. */
const ROW_OVERHEAD_BYTES = 6;
/** Bytes that are allowed for a shape's prices beside the row and the shape. */
const PRICE_OVERHEAD_BYTES = 14;
/** Bytes that are allowed for a team's unmet demand beside the team. */
const UNMET_OVERHEAD_BYTES = 34;
/** Bytes that are allowed for a group of starts beside its fields and tasks. */
const GROUP_OVERHEAD_BYTES = 14;
const SEPARATOR_BYTES = 1;

/** Fields of a draft that are plain lists, in the order in which a split draft carries them. */
const LIST_FIELDS = [
  'removed',
  'machines',
  'settledRentals',
  'rentals',
  'moves',
  'ends',
  'statuses',
  'takes',
  'releases',
] as const;

/** The parts of a draft as they fill up, each within the limit. */
class DraftParts {
  readonly parts: StoredRecordDraft[] = [];
  private current: StoredRecordDraft = {};
  private size = EMPTY_DRAFT_BYTES;

  constructor(private readonly limit: number) {
    this.parts.push(this.current);
  }

  /** Reserves so many bytes in the last part, or in a new one if they don't fit; returns that part. */
  reserve(bytes: number): StoredRecordDraft {
    if (this.size > EMPTY_DRAFT_BYTES && this.size + bytes > this.limit) {
      this.current = {};
      this.parts.push(this.current);
      this.size = EMPTY_DRAFT_BYTES;
    }
    this.size += bytes;
    return this.current;
  }

  /** Counts bytes that the last part takes in any case. */
  addBytes(bytes: number): void {
    this.size += bytes;
  }
}

/**
 * Splits a draft into parts that each fit into one value, completions before starts, so that no prefix of the
 * parts holds a start that relies on a completion after it. `limit`: bytes of a value.
 */
export function splitDraft(draft: StoredRecordDraft, limit: number): StoredRecordDraft[] {
  const parts = new DraftParts(limit);
  for (const field of LIST_FIELDS) {
    for (const row of draft[field] ?? []) addRow(parts, field, row);
  }
  for (const [shape, row] of Object.entries(draft.prices ?? {})) {
    const part = parts.reserve(jsonBytes(row) + jsonBytes(shape) + PRICE_OVERHEAD_BYTES);
    (part.prices ??= {})[shape] = row;
  }
  for (const [team, cpus] of Object.entries(draft.unmet ?? {})) {
    const part = parts.reserve(jsonBytes(team) + UNMET_OVERHEAD_BYTES);
    (part.unmet ??= {})[team] = cpus;
  }
  for (const group of draft.starts ?? []) addStartGroup(parts, group);
  return parts.parts;
}

function addRow(parts: DraftParts, field: (typeof LIST_FIELDS)[number], row: unknown): void {
  const part = parts.reserve(jsonBytes(row) + field.length + ROW_OVERHEAD_BYTES) as Record<string, unknown[]>;
  (part[field] ??= []).push(row);
}

/** Each part that holds tasks of the group repeats the group's other fields. */
function addStartGroup(parts: DraftParts, group: StoredStartGroup): void {
  const headBytes = jsonBytes({ ...group, tasks: [] }) + GROUP_OVERHEAD_BYTES;
  let openGroup: StoredStartGroup | null = null;
  let openPart: StoredRecordDraft | null = null;
  for (const task of group.tasks) {
    const part = parts.reserve(jsonBytes(task) + SEPARATOR_BYTES + (openGroup ? 0 : headBytes));
    if (!openGroup || part !== openPart) {
      if (openGroup) parts.addBytes(headBytes);
      openGroup = { ...group, tasks: [] };
      openPart = part;
      (part.starts ??= []).push(openGroup);
    }
    openGroup.tasks.push(task);
  }
}
