/**
 * Mutation testing: removes one safety check of `mutations.json` at a time and verifies that a test then fails. It works
 * on a copy of the compiled tree, so that the checkout stays unchanged. It runs by command and not in CI:
 *
 *     node target/testkit/mutations.js [part of a name]
 */
import { spawnSync } from 'node:child_process';
import { cpSync, mkdtempSync, readFileSync, rmSync, symlinkSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';

interface Mutation {
  /** The safety check that is removed. */
  name: string;
  /** Compiled file, relative to `target/`. */
  file: string;
  /** Compiled code to replace; its first occurrence counts. */
  from: string;
  to: string;
  /** Compiled test files of which at least one has to fail, relative to `target/`. */
  tests: string[];
}

/** More random runs than in CI, because some checks take effect rarely. */
const ENVIRONMENT = { DUTIES_RUNS: '24', LOST_RUNS: '8' };

const checkout = fileURLToPath(new URL('../../', import.meta.url));
const mutations = JSON.parse(
  readFileSync(join(checkout, 'packages/testkit/mutations.json'), 'utf8'),
) as Mutation[];

/** True if one of the tests fails without the safety check. */
function isCaught({ name, file, from, to, tests }: Mutation): boolean {
  const folder = mkdtempSync(join(tmpdir(), 'micaworks-mutation-'));
  try {
    for (const part of ['target', 'package.json', 'deploy']) {
      cpSync(join(checkout, part), join(folder, part), { recursive: true });
    }
    for (const part of ['node_modules', 'packages']) symlinkSync(join(checkout, part), join(folder, part));
    const path = join(folder, 'target', file);
    const text = readFileSync(path, 'utf8');
    if (!text.includes(from))
      throw new Error(`mutation "${name}": target/${file} does not contain the text of "from"`);
    writeFileSync(
      path,
      text.replace(from, () => to),
    );
    const files = tests.map((test) => join(folder, 'target', test));
    const options = { env: { ...process.env, ...ENVIRONMENT }, stdio: 'ignore' as const };
    return spawnSync(process.execPath, ['--test', ...files], options).status !== 0;
  } finally {
    rmSync(folder, { recursive: true, force: true });
  }
}

let missedCount = 0;
for (const mutation of mutations) {
  if (!mutation.name.includes(process.argv[2] ?? '')) continue;
  const caught = isCaught(mutation);
  if (!caught) missedCount++;
  process.stdout.write(`${caught ? 'caught' : 'MISSED'}: without "${mutation.name}"\n`);
}
process.exitCode = missedCount === 0 ? 0 : 1;
