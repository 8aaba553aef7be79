/** `micaworks snapshot`: writes a node's state to a file, checks such files and tells what they hold. */
import { createReadStream, createWriteStream, existsSync } from 'node:fs';
import { rename, rm, stat } from 'node:fs/promises';
import type { Readable } from 'node:stream';
import { pipeline } from 'node:stream/promises';
import { createGzip } from 'node:zlib';
import { openSnapshot } from '#operations';
import { readSnapshot, type SnapshotSummary } from '#recovery';
import { checkAddress } from './address.js';
import { failure, messageOf, usageError } from './errors.js';
import { formatTable, type Print, printJson } from './output.js';

export interface SnapshotOptions {
  node: string;
  force: boolean;
}

/** Takes the snapshot into a file beside the named one, which it replaces only once it is found whole. */
export async function takeSnapshot(
  file: string,
  { node, force }: SnapshotOptions,
  print: Print,
): Promise<void> {
  const address = checkAddress(node);
  if (existsSync(file) && !force) throw usageError(`${file}: there is such a file; --force replaces it`);
  const partial = `${file}.partial`;
  try {
    const source = await openSnapshot(address).catch((cause: unknown) => {
      throw failure(`${node}: ${messageOf(cause)}`);
    });
    await store(source, partial);
    const summary = await verify(partial);
    await rename(partial, file);
    print(`${file}: epoch ${summary.header.epoch}, ${summary.jobs} jobs, ${summary.tasks} tasks on machines`);
    if (!summary.hasAllFinals) print(`${file}: the state service did not give all final answers`);
  } finally {
    await rm(partial, { force: true });
  }
}

export async function verifySnapshot(file: string, print: Print): Promise<void> {
  const { lines, header } = await verify(file);
  print(`${file}: whole; version ${header.version}, ${lines} lines`);
}

export async function showSnapshot(file: string, { json }: { json: boolean }, print: Print): Promise<void> {
  const summary = await verify(file);
  const { size } = await stat(file);
  if (json) {
    printJson(print, { ...summary, bytes: size });
    return;
  }
  for (const line of formatTable(rowsOf(summary, size))) print(line);
}

async function store(source: Readable, file: string): Promise<void> {
  try {
    await pipeline(source, createGzip(), createWriteStream(file, { flush: true } as object));
  } catch (cause) {
    throw failure(`the snapshot was cut off: ${messageOf(cause)}`);
  }
}

async function verify(file: string): Promise<SnapshotSummary> {
  if (!existsSync(file)) throw usageError(`${file}: there is no such file`);
  try {
    return await readSnapshot(createReadStream(file));
  } catch (cause) {
    throw failure(`${file}: ${messageOf(cause)}`);
  }
}

function rowsOf(summary: SnapshotSummary, size: number): string[][] {
  const { header } = summary;
  return [
    ['taken at', new Date(header.takenAt).toISOString()],
    ['by', `${header.member} (of ${header.nodes.join(', ')})`],
    ['lost state', header.loss ?? 'not watched'],
    ['epoch, token', `${header.epoch}, ${header.token}`],
    [
      'logs',
      Object.entries(summary.positions)
        .map(([log, seq]) => `${log}: ${seq}`)
        .join(', '),
    ],
    ['jobs', String(summary.jobs)],
    ['tasks on machines', String(summary.tasks)],
    ['final answers', summary.hasAllFinals ? String(summary.finals) : `${summary.finals}, not all`],
    ['machines', String(summary.machines)],
    ['open rentals', String(summary.rentals)],
    ['size', `${size} bytes, ${summary.lines} lines`],
  ];
}
