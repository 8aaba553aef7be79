/**
 * j-2 may run in the zone `brest` alone, where the cloud has no machine to rent. j-3 of the same team may run anywhere.
 * The case fails if j-3 waits for 90 s while one and the same machine in `rennes` has room for it and its team is under
 * its limit.
 */
import { pause } from '../stand-ins-2/http.js';
import { panierBreizh, runCase, submission } from '../stand-ins-2/deployment.js';

const BOUND_S = 90;

const options = (hasTrouble) =>
  panierBreizh({
    capacity: (_type, zone) => (hasTrouble && zone === 'brest' ? 0 : 24),
    runS: () => 4,
  });

await runCase(new URL('.', import.meta.url), options, async (deployment) => {
  const { rules, workers, options: facts } = deployment;
  const first = submission('j-1', { Pieces: 2 });
  const bound = submission('j-2', { Pieces: 20, Hall: 'brest' });
  const late = submission('j-3', { Pieces: 1 });
  const accept = async (job) => {
    if (!(await deployment.submit(job))) throw new Error(`${job.Uid} was not accepted`);
  };
  await accept(first);
  await pause(2000);
  await accept(bound);
  await pause(500);
  await accept(late);
  const [team] = facts.teams;
  const hasStarted = () => rules.starts.some(({ id }) => id === late.Uid);
  /** Keyed by host: since when the machine has room for j-3 while its worker reports and is answered. */
  const roomSince = new Map();
  deployment.fleet.onReport = (worker, _node, _body, reply) => {
    if (reply.status !== 200) roomSince.delete(worker.host.Uid);
    else worker.isServed = true;
  };
  let lastPoll = performance.now();
  let longest = 0;
  while (!hasStarted() && longest < BOUND_S) {
    await pause(100);
    const now = performance.now();
    const isUnderLimit = rules.teamUse(team.name) + late.Cpus <= team.cpus_max;
    for (const [host, worker] of workers) {
      const hasRoom = worker.isServed && worker.hasRoom(late) && isUnderLimit;
      if (!hasRoom) roomSince.delete(host);
      else if (!roomSince.has(host)) roomSince.set(host, now);
    }
    for (const host of roomSince.keys()) if (!workers.has(host)) roomSince.delete(host);
    longest = Math.max(0, ...[...roomSince.values()].map((since) => (now - since) / 1000));
    if (now - lastPoll > 5000) {
      lastPoll = now;
      await deployment.poll(late);
    }
    if (deployment.seconds > 110 && longest < BOUND_S)
      throw new Error(
        `no machine had room for ${BOUND_S} s in the time of the case; the longest had it ${longest} s`,
      );
  }
  if (hasStarted()) return { broken: null };
  const host = [...roomSince].find(([, since]) => (performance.now() - since) / 1000 >= BOUND_S)?.[0];
  deployment.record(
    'case',
    `${late.Uid} has waited for ${BOUND_S} s while ${host} was empty; team use ${rules.teamUse(team.name)}`,
  );
  // Not part of the check: shows in the record what j-3 waits for.
  await deployment.withdraw(bound, 3000);
  const starts = await deployment.until(hasStarted, 5000);
  deployment.record(
    'case',
    `after the withdrawal of ${bound.Uid}, ${late.Uid} ${starts ? 'starts' : 'still waits'}`,
  );
  return {
    broken: `${late.Uid} waited for ${BOUND_S} s while ${host} had room and its team was under its limit`,
  };
});
