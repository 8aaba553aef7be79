// Two zones can't reach each other while a machine boots. Later one job is cancelled right after its submission, and
// another waits for the same machine: does it run?
import { job } from '../lib/deployment.js';
import { runCase, TROUBLE } from '../lib/case.js';
import { qazsafe } from '../lib/sites.js';
import { sleep } from '../lib/http.js';

const FAR = 'astana';
const NEAR = 'almaty';
const LONGEST_WAIT_S = 90;
const CUT_S = 6;
const BOOT_MS = 7500;

const site = qazsafe();
// Ordinary machines only where the busy jobs need them; one cheap machine in the far zone.
site.capacity = (type, zone, spot) => ({ [NEAR]: 2, [FAR]: 1 })[zone] * (spot ? 1 : 0) || 0;
site.bootMs = ({ zone }) => (zone === FAR ? BOOT_MS : 1500);

await runCase(import.meta.url, site, async (deployment) => {
  const { state, nodes } = deployment;
  const ownerOf = (shard) =>
    nodes.find(({ member }) => member === state.rows.get(`mw/now/share/${shard}`)?.value.Member);
  const shards = [0, 1, 2];
  await deployment.until(
    () => new Set(shards.map(ownerOf)).size === 3 && !shards.map(ownerOf).includes(undefined),
    15,
  );
  await sleep(1000);
  // The teams are dealt to the shards in the order of the settings.
  const teamOf = (zone) => site.teams[shards.find((shard) => ownerOf(shard)?.domain === zone)]?.name;
  const nearTeam = teamOf(NEAR);
  const farTeam = teamOf(FAR);
  if (!nearTeam || !farTeam) throw new Error('the shards are not dealt to both zones');
  deployment.record('teams', { nearTeam, farTeam });

  // Two machines in the near zone have work for the whole time.
  const long = { ExpectS: 300, runMs: () => 300_000, Cpus: 4, MemGb: 14 };
  await deployment.submit(job('j-000001', { Crew: nearTeam, Hall: NEAR, Pieces: 2, ...long }));
  // A machine is rented in the far zone, for a team whose controller is in the near one. Its user changes his mind.
  await deployment.submit(job('j-000002', { Crew: nearTeam, Hall: FAR, ...long }));
  const rented = () => deployment.events.find(({ event, Hall }) => event === 'rented' && Hall === FAR);
  if (!(await deployment.until(rented, 15))) throw new Error('no machine was rented in the far zone');
  await deployment.withdraw('j-000002');
  if (TROUBLE) {
    setCut(deployment, true);
    await sleep(CUT_S * 1000);
    setCut(deployment, false);
  } else await sleep(CUT_S * 1000);

  // The machine comes up, runs a short job, reports, and is idle.
  const worker = await deployment.until(
    () => [...deployment.workers.values()].find(({ host }) => host.zone === FAR),
    20,
  );
  if (!worker) throw new Error('the machine did not come up');
  let answeredAt = 0;
  worker.onAnswer = (member, body, { status }) => {
    deployment.record('report answered', {
      host: worker.host.name,
      member,
      status,
      tasks: body.Pieces.length,
    });
    if (status === 200 && body.Pieces.length === 0) answeredAt = Date.now();
  };
  const short = { ExpectS: 1, runMs: () => 500, Cpus: 4, MemGb: 14 };
  await deployment.submit(job('j-000003', { Crew: farTeam, Hall: FAR, ...short }));
  const exited = () =>
    deployment.events.find(({ event, piece }) => event === 'exit' && piece === 'j-000003/0');
  if (!(await deployment.until(exited, 20))) throw new Error('the short job did not run');
  const doneAt = Date.now();
  // The next three seconds belong to the users: the machine has just reported that it is idle.
  await deployment.until(() => Date.now() - doneAt > 2000 && Date.now() - answeredAt < 100, 15);

  // One user submits a job and cancels it once a machine is chosen, before that machine reports again; the other needs
  // the same room.
  await deployment.submit(job('j-000004', { Crew: farTeam, Hall: FAR, ...long }));
  const isPlaced = ({ event, starts = [] }) =>
    event === 'log' && starts.some((group) => group.job === 'j-000004');
  await deployment.until(() => deployment.events.find(isPlaced), 2);
  const status = await deployment.withdraw('j-000004');
  if (status !== 'withdrawn') throw new Error(`withdrawn job is ${status}`);
  await deployment.submit(job('j-000005', { Crew: farTeam, Hall: FAR, ...long }));
  const acceptedAt = deployment.t;
  const started = () =>
    deployment.events.find(({ event, piece }) => event === 'start' && piece === 'j-000005/0');
  for (let i = 0; !started() && deployment.t < acceptedAt + LONGEST_WAIT_S; i++) {
    await sleep(500);
    if (i % 10 === 0) await deployment.ask(nodes[i % nodes.length], 'GET', '/submissions/j-000005');
    if (!deployment.workers.has(worker.host.name)) throw new Error('the machine was returned');
  }
  const sent = deployment.events.some(({ event, piece }) => event === 'launch' && piece === 'j-000004/0');
  deployment.record('cancelled job', { launched: sent });
  const tasks = [...worker.tasks.values()].filter((task) => task.status !== 'exited').length;
  const waited = Math.round(deployment.t - acceptedAt);
  if (started()) return { broken: false, why: `the job started ${waited} s after it was accepted` };
  return {
    broken: tasks === 0,
    why: `the job waited ${waited} s; its machine has ${tasks} tasks and reports all the time`,
  };
});

/** Cuts or restores every connection between the zones: between controllers, and from workers to controllers. */
function setCut(deployment, isCut) {
  deployment.record(isCut ? 'zones cut' : 'zones connected', { zones: [NEAR, FAR] });
  const { nodes } = deployment;
  for (const from of nodes) {
    for (const to of nodes) if (from.domain !== to.domain) from.proxies.get(to.member).proxy.setCut(isCut);
  }
  const zoneOf = (member) => nodes.find((node) => node.member === member).domain;
  deployment.reaches = (host, member) => !isCut || host.zone === zoneOf(member);
}
