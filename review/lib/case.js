// Runs one case: sets the exit code by its verdict, ends what it started, and keeps within 120 seconds.
import { fileURLToPath } from 'node:url';
import { dirname } from 'node:path';
import { Deployment } from './deployment.js';

const LONGEST_MS = 118_000;

/** True unless the case runs without its disruption. */
export const TROUBLE = process.env.TROUBLE !== '0';

/**
 * Starts a deployment of the site and runs `play(deployment)`, which returns `{ broken, why }`. Exits with 1 if the
 * rule was broken, 0 if it held, 2 if the case couldn't run.
 */
export async function runCase(url, site, play) {
  const deployment = new Deployment(site, dirname(fileURLToPath(url)));
  deployment.record('case', { site: site.name, trouble: TROUBLE });
  const finish = async (code, why) => {
    deployment.record('verdict', { code, why });
    process.stdout.write(`${code === 1 ? 'BROKEN' : code === 0 ? 'held' : 'could not run'}: ${why}\n`);
    await deployment.close();
    process.exit(code);
  };
  const timer = setTimeout(() => void finish(2, 'out of time'), LONGEST_MS);
  for (const signal of ['SIGINT', 'SIGTERM']) process.once(signal, () => void finish(2, signal));
  let code = 2;
  let why = '';
  try {
    await deployment.start();
    if (!(await deployment.until(() => deployment.leader, 15))) throw new Error('no leader was elected');
    const result = await play(deployment);
    code = result.broken ? 1 : 0;
    why = result.why;
  } catch (error) {
    why = String(error.stack ?? error);
  }
  clearTimeout(timer);
  await finish(code, why);
}
