/**
 * A part of prompts crashes the workers. It stands behind the 255th part, and the
 * gateway keeps no more of a prompt, so it never learns what crashes the workers.
 */
import {fileURLToPath} from 'node:url';
import {setTimeout as sleep} from 'node:timers/promises';
import {
  BOUNDS,
  call,
  configuration,
  Deployment,
  Record,
} from '../lib-3/deployment.mjs';
import {StreamWorker} from '../lib-3/worker.mjs';

const isTroubled = process.env.TROUBLE !== '0';
/** Parts of each prompt; the deadly one is the last but two. */
const PARTS = Number(process.env.PARTS ?? 300);
const DEADLY = 'dead0001';
const DOWN_MS = 3000;
const PACE_MS = 50;
/** One request in so many holds the part, for so long, as in the letter. */
const ONE_IN = 20;
const LENGTH_S = 22;
const MAX_LATE = 3;

const record = new Record(
  fileURLToPath(new URL('record.txt', import.meta.url)),
);
const zones = {
  'centro-a': 'centro',
  'cuyo-a': 'cuyo',
  'patagonia-a': 'patagonia',
};
const names = Object.keys(zones);
const deployment = new Deployment({
  zones,
  cores: names,
  fronts: ['centro-a', 'centro-a', 'cuyo-a', 'patagonia-a'],
});
const crashes = [];
const arrivals = [];

class DeadlyWorker extends StreamWorker {
  answer(request, response, body, run) {
    const holdsPart = request.headers['prompt-prefix'].includes(DEADLY);
    if (!holdsPart) {
      super.answer(request, response, body, run);
      return;
    }
    arrivals.push(Date.now());
    record.write(`run ${run.attempt} with the part at ${this.id}`);
    if (!isTroubled) {
      super.answer(request, response, body, run);
      return;
    }
    setTimeout(() => {
      if (this.isDown) return;
      response.writeHead(200, {
        ...this.head(run.attempt),
        'content-type': 'text/event-stream',
      });
      response.write('id: 0\ndata: pie');
      setTimeout(() => {
        if (this.isDown) return;
        crashes.push(Date.now());
        record.write(`crash ${crashes.length} of ${this.id}`);
        this.crash(DOWN_MS);
      }, 5);
    }, this.firstMs);
  }
}

function prefix(isDeadly, number) {
  const parts = Array.from(
    {length: PARTS},
    (_, position) => `${(0xa000 + position).toString(16)}:20`,
  );
  if (isDeadly) parts[PARTS - 3] = `${DEADLY}:20`;
  parts[PARTS - 1] = `${(0xf00000 + number).toString(16)}:20`;
  return parts.join(',');
}

let sent = 0;
const answers = {sound: {}, deadly: {}};

async function send() {
  sent += 1;
  const isDeadly = sent % ONE_IN === 0;
  const attempt = `attempt${sent}`;
  const front = deployment.fronts[sent % deployment.fronts.length];
  const kind = isDeadly ? 'deadly' : 'sound';
  const {status} = await call(
    front.address('front'),
    'POST',
    '/brief/2f',
    `brief ${sent}`,
    {
      host: 'ficu95.example',
      'attempt-id': attempt,
      model: 'm',
      'token-counts': `${PARTS * 20},42`,
      'prompt-prefix': prefix(isDeadly, sent),
      'deadline-milliseconds': '4000',
    },
    5000,
  );
  answers[kind][status] = (answers[kind][status] ?? 0) + 1;
  record.write(`${kind} ${attempt} to ${front.name}: ${status}`);
}

async function main() {
  for (const zone of names) {
    for (let each = 0; each < 4; each += 1) {
      const worker = new DeadlyWorker({service: 'modelo', zone, slots: 64});
      await worker.start();
      deployment.workers.push(worker);
    }
  }
  await deployment.start();
  await deployment.order(
    '/Configuration.Replace',
    configuration({
      version: 3,
      routes: [
        {
          name: 'brief',
          pathPrefix: '/brief/',
          kind: 'streaming',
          service: 'modelo',
          attempts: 2,
          sticky: true,
          resumable: true,
          targetLatencyMs: 1500,
          targetGapMs: 300,
        },
      ],
      services: [
        {
          name: 'modelo',
          engine: {
            slots: 64,
            kvCacheTokens: 246518,
            kvTokenBytes: 163840,
            linkMbps: 1100000,
            stride: 7,
            models: [{name: 'm'}],
          },
        },
      ],
    }),
  );
  await deployment.ready();
  await sleep(3000);
  const endAt = Date.now() + LENGTH_S * 1000;
  const running = [];
  while (Date.now() < endAt) {
    running.push(send());
    await sleep(PACE_MS);
  }
  await Promise.all(running);
  const fifthAt = crashes[4] ?? Number.POSITIVE_INFINITY;
  const late = arrivals.filter(at => at > fifthAt + BOUNDS.contactMs).length;
  const result =
    `crashes ${crashes.length}, requests with the part at workers ` +
    `${arrivals.length}, of these later than contactMs after the fifth crash ` +
    `${late} (at most ${MAX_LATE}), answers ${JSON.stringify(answers)}`;
  record.write(result);
  console.log(result);
  const hasRun = (answers.sound[200] ?? 0) > 100;
  if (!hasRun) return 2;
  return late > MAX_LATE ? 1 : 0;
}

let code = 2;
try {
  code = await main();
} catch (error) {
  record.write(`could not run: ${error.stack}`);
  console.error(error);
} finally {
  await deployment.stop();
}
process.exit(code);
