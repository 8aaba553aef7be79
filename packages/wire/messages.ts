import type { Count } from './codec.js';

export const MAX_BODY_BYTES = 64 * 1024;
export const MAX_PIECES = 100_000;

export const RANKS = ['best_effort', 'normal', 'urgent', 'prod'] as const;
export type Rank = (typeof RANKS)[number];

export interface Submission {
  Uid: string;
  Lane: string;
  Crew: string;
  Shape: 'array';
  Rank: Rank;
  Pieces: number;
  Cpus: number;
  Gpus: number;
  MemGb: number;
  Bundle: string;
  SizeGb: number;
  Builds: string[] | null;
  Hall: string | null;
  SamePlace: boolean;
  Scatter: boolean;
  Loaners: boolean;
  ExpectS: number;
  BookmarkS: number;
  StashS: number;
  DueS: number | null;
}

export type JobStatus = 'pending' | 'running' | 'done' | 'withdrawn';

export interface JobAnswer {
  Uid: string;
  Status: JobStatus;
  done?: number;
  running?: number;
}

export type PieceStatus = 'pulling' | 'running' | 'saving' | 'exited';
export type Cause = 'done' | 'halted' | 'error' | 'full' | 'in_use' | 'unknown';

export interface PieceReport {
  Piece: string;
  Try: Count;
  Status: PieceStatus;
  Cause?: Cause | null;
  Stored?: boolean | null;
}

export interface Report {
  Host: string;
  Endpoint: string;
  Build: string;
  Hall: string;
  Loaners: boolean;
  Shift: Count;
  Tally: Count;
  Baton: Count;
  RecallS?: number | null;
  Pieces: PieceReport[];
}

export type Order =
  | { Verb: 'launch'; Piece: string; Try: number }
  | { Verb: 'halt'; Piece: string; Try: Count; WindDownS: number }
  | { Verb: 'reap'; Piece: string; Try: Count };

export interface ReportAnswer {
  Baton: number;
  Orders: Order[];
}

export interface MachineType {
  Sku: string;
  Cpus: number;
  Gpus: number;
  MemGb: number;
  CacheGb: number;
  FetchGbPerS: number;
  Price: number;
  LowPrice: number;
  BootS: number;
  Halls: string[];
}

export interface Rental {
  Hire: string;
  Build: string;
  Hall: string;
  Loaners: boolean;
  Number: number;
}

export interface HostRow {
  Uid: string;
  Endpoint: string;
  Build: string;
  Hall: string;
  Loaners: boolean;
  Status: 'starting' | 'running' | 'failed';
  AgeS: number;
}

/** Name of a task on the wire: `<job>/<index>`. */
export function pieceName(job: string, index: number): string {
  return `${job}/${index}`;
}

export function parsePiece(piece: string): { job: string; index: number } | null {
  const cut = piece.lastIndexOf('/');
  const index = Number(piece.slice(cut + 1));
  return cut > 0 && Number.isInteger(index) && index >= 0 ? { job: piece.slice(0, cut), index } : null;
}

const JOB_ID = /^j-[0-9]{1,32}$/;

export function isJobId(id: unknown): id is string {
  return typeof id === 'string' && JOB_ID.test(id);
}
