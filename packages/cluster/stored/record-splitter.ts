/** Splits drafts of records that are too large for one value of the state store. */
import type { StoredRecordDraft, StoredStartGroup } from './record-codec.js';
import { jsonBytes } from '#wire';

/** Size of an empty draft, `{}`. */
const EMPTY_DRAFT_BYTES = 2;
/** Bytes reserved for the syntax around a row, in addition to the row and the name of its field. */
const ROW_OVERHEAD_BYTES = 6;
/** Bytes reserved for the syntax and the field name around a shape's prices, in addition to the row and the shape. */
const PRICE_OVERHEAD_BYTES = 14;
/** Bytes reserved for a team's unmet demand: the number, the syntax and the field name, but not the team. */
const UNMET_OVERHEAD_BYTES = 34;
/** Bytes reserved for the syntax and the field name around a group of starts, but not its fields and tasks. */
const GROUP_OVERHEAD_BYTES = 14;
/** Size of the comma after a task. */
const SEPARATOR_BYTES = 1;

/** Fields of a draft that are plain lists, in the order in which they are written to a split draft. */
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

/** The parts of a split draft. Rows are added to the last part until it is full. */
class DraftParts {
  readonly parts: StoredRecordDraft[] = [];
  private current: StoredRecordDraft = {};
  private currentBytes = EMPTY_DRAFT_BYTES;

  constructor(private readonly maxPartBytes: number) {
    this.parts.push(this.current);
  }

  /** Reserves bytes in the last part, or in a new part if they don't fit. Returns that part. */
  reserve(bytes: number): StoredRecordDraft {
    if (this.currentBytes > EMPTY_DRAFT_BYTES && this.currentBytes + bytes > this.maxPartBytes) {
      this.current = {};
      this.parts.push(this.current);
      this.currentBytes = EMPTY_DRAFT_BYTES;
    }
    this.currentBytes += bytes;
    return this.current;
  }

  /** Reserves bytes in the last part, even if that exceeds its limit. */
  reserveInCurrent(bytes: number): void {
    this.currentBytes += bytes;
  }
}

/**
 * Splits a draft into parts that each fit into one value of `maxValueBytes` bytes. Completions come before starts, so
 * that no prefix of the parts holds a start that depends on a later completion.
 */
export function splitDraft(draft: StoredRecordDraft, maxValueBytes: number): StoredRecordDraft[] {
  const parts = new DraftParts(maxValueBytes);
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

/** Adds a group of starts. Each part that holds tasks of the group repeats the group's other fields. */
function addStartGroup(parts: DraftParts, group: StoredStartGroup): void {
  const headerBytes = jsonBytes({ ...group, tasks: [] }) + GROUP_OVERHEAD_BYTES;
  let openGroup: StoredStartGroup | null = null;
  let openPart: StoredRecordDraft | null = null;
  for (const task of group.tasks) {
    const part = parts.reserve(jsonBytes(task) + SEPARATOR_BYTES + (openGroup ? 0 : headerBytes));
    if (!openGroup || part !== openPart) {
      if (openGroup) parts.reserveInCurrent(headerBytes);
      openGroup = { ...group, tasks: [] };
      openPart = part;
      (part.starts ??= []).push(openGroup);
    }
    openGroup.tasks.push(task);
  }
}
