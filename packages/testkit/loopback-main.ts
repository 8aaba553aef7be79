/**
 * A deployment on loopback to try the tools against, until it is interrupted:
 *
 *     node target/testkit/loopback-main.js
 *
 * It prints the address of each node's listener and the id of its process, to be frozen (`kill -STOP`) and thawed. With
 * `kill -USR2` on its own process the state service loses everything, and with the next one has it all again.
 */
import { LoopbackTrial } from './loopback-trial.js';

const trial = new LoopbackTrial({ seed: 1, durationMs: 0 });
await trial.start();
for (const { addresses, processId } of trial.nodes) {
  const { member, operators, users } = addresses;
  process.stdout.write(`${member}: operators ${operators}, users ${users}, process ${processId}\n`);
}
process.stdout.write(`state service: process ${process.pid}\n`);
let restoreData: (() => void) | null = null;
process.on('SIGUSR2', () => {
  if (restoreData) restoreData();
  restoreData = restoreData ? null : trial.loseData();
  process.stdout.write(`state service: ${restoreData ? 'has lost everything' : 'has it all again'}\n`);
});
process.once('SIGINT', () => {
  trial.stop();
  process.exit();
});
