/**
 * A gang whose tasks must be spread over zones, and whose only allowed type is offered in one zone. It can never run: all
 * its tasks run at the same time, and at most half of them may be in one zone. The case fails if it is accepted and
 * then neither runs nor is refused, nor ends, for 60 s, while machines of its type are there to rent.
 */
import { pause } from '../stand-ins-2/http.js';
import { panierBreizh, runCase, submission } from '../stand-ins-2/deployment.js';

const WATCH_S = 60;

const options = (hasTrouble) => {
  const [type] = panierBreizh().types;
  return panierBreizh({
    types: [{ ...type, Halls: hasTrouble ? ['rennes'] : ['brest', 'rennes'] }],
    capacity: (_type, zone) => (hasTrouble && zone === 'brest' ? 0 : 24),
    runS: () => 5,
  });
};

await runCase(new URL('.', import.meta.url), options, async (deployment) => {
  const { rules } = deployment;
  const gang = submission('j-1', {
    Lane: 'route-solve',
    Shape: 'ensemble',
    Pieces: 4,
    Cpus: 2,
    MemGb: 6.4,
    SizeGb: 1,
    ExpectS: 30,
    BookmarkS: 20,
    StashS: 4,
    Scatter: true,
  });
  deployment.jobs.set(gang.Uid, gang);
  let reply = { status: 0 };
  for (let i = 0; i < 30 && reply.status !== 200 && reply.status !== 201; i++) {
    reply = await deployment.request('POST', '/submissions', gang);
    if (reply.status === 422) return { broken: null };
    if (reply.status === 400) throw new Error('the submission is answered 400');
    await pause(1000);
  }
  if (reply.status !== 200 && reply.status !== 201) throw new Error('the submission is not answered');
  gang.acceptedAt = performance.now();
  const end = performance.now() + WATCH_S * 1000;
  while (performance.now() < end) {
    await pause(2000);
    const { body } = await deployment.poll(gang);
    if (body.Status === 'done') return { broken: null };
  }
  const starts = rules.starts.filter(({ id }) => id === gang.Uid).length;
  if (starts > 0) throw new Error(`${starts} of its tasks have started: the case is not as it was meant`);
  return {
    broken: `${gang.Uid} can never run, was accepted with ${reply.status}, and is still called pending after ${WATCH_S} s`,
  };
});
