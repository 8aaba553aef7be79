// A guest team submits three jobs of the largest size: do the controllers stay up, and does other work run?
import { job } from '../lib/deployment.js';
import { runCase, TROUBLE } from '../lib/case.js';
import { qazsafe } from '../lib/sites.js';
import { sleep } from '../lib/http.js';

const GUEST = 'actuarial-guild';
/** The page's limit of `Pieces`; without the trouble, the size of a guest's job in the site file of Panier Breizh. */
const PIECES = TROUBLE ? 100_000 : 366;
const JOBS = 3;
const WATCH_S = 75;

const site = qazsafe();
site.teams.push({ name: GUEST, cpus: 0, cpusMax: 0 });

await runCase(import.meta.url, site, async (deployment) => {
  // The machine types have to be known before anything is accepted.
  for (let i = 1; i <= JOBS; i++) {
    const sweep = job(`j-00000${i}`, {
      Lane: 'census-sweep',
      Crew: GUEST,
      Rank: 'best_effort',
      Pieces: PIECES,
      Cpus: 4,
      MemGb: 14,
      ExpectS: 30,
      runMs: () => 30_000,
    });
    if (!(await deployment.submit(sweep))) throw new Error(`${sweep.Uid} was not accepted`);
  }
  const patch = job('j-000009', {
    Lane: 'rate-patch',
    Rank: 'urgent',
    Pieces: 2,
    ExpectS: 5,
    runMs: () => 5000,
  });
  if (!(await deployment.submit(patch))) throw new Error(`${patch.Uid} was not accepted`);
  const acceptedAt = deployment.t;
  let status = null;
  for (let i = 0; deployment.t < acceptedAt + WATCH_S && status !== 'done'; i++) {
    await sleep(2500);
    const { status: code, answer } = await deployment.ask(
      deployment.nodes[i % deployment.nodes.length],
      'GET',
      `/submissions/${patch.Uid}`,
    );
    if (code === 200) status = answer.Status;
  }
  const ends = deployment.ended.length;
  const starts = deployment.events.filter(({ event }) => event === 'start').length;
  const why =
    `${ends} controllers ended by themselves, ${starts} tasks started, the urgent job was last seen as ` +
    `${status} ${Math.round(deployment.t - acceptedAt)} s after it was accepted`;
  // nothing_ran, as written: no task was started.
  return { broken: starts === 0, why };
});
