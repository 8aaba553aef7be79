/**
 * Runs a deployment on loopback, to try the command line tools with, until it is interrupted:
 *
 *     node target/testkit/loopback-main.js
 *
 * It prints the addresses and the process id of each node. A node is suspended with `kill -STOP` and resumed with
 * `kill -CONT`. The state service runs in this program's own process: `kill -USR2` deletes all its data, and the next
 * `kill -USR2` restores the data.
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
  process.stdout.write(`state service: ${restoreData ? 'all data deleted' : 'all data restored'}\n`);
});
process.once('SIGINT', () => {
  trial.stop();
  process.exit();
});
