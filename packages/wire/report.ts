import { isCount, isFields } from './codec.js';
import type { Report } from './messages.js';

/** Checks a worker's report as it came off the wire; null if a field that matters is missing or invalid. */
export function parseReport(body: unknown): Report | null {
  if (!isFields(body)) return null;
  const strings = ['Host', 'Endpoint', 'Build', 'Hall'].every((k) => typeof body[k] === 'string');
  const counts = ['Shift', 'Tally', 'Baton'].every((k) => isCount(body[k]));
  if (!strings || !counts || typeof body['Loaners'] !== 'boolean' || !Array.isArray(body['Pieces']))
    return null;
  const recall = body['RecallS'];
  if (recall !== null && recall !== undefined && typeof recall !== 'number') return null;
  const pieces = body['Pieces'] as unknown[];
  const ok = pieces.every(
    (p) =>
      isFields(p) && typeof p['Piece'] === 'string' && isCount(p['Try']) && typeof p['Status'] === 'string',
  );
  return ok ? (body as unknown as Report) : null;
}
