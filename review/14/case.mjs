/**
 * A part of prompts crashes the workers, and prompts have some dozen parts, as long
 * chats and documents do. The gateway keeps the evidence on a bounded number of parts
 * and drops the oldest first: that on the deadly part goes before it is enough.
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
/** Parts of each prompt: a common one, those of a document, and its own. */
const PARTS = Number(process.env.PARTS ?? 250);
const DOCUMENTS = 138;
const DEADLY = 'dead0001';
const DOWN_MS = 3000;
const PACE_MS = 16;
/** One request in so many holds the part; the letter has one in 20. */
const ONE_IN = 40;
/** The part comes for 22 s of these, as in the letter. */
const LENGTH_S = 27;
/** The part comes after that time, when the workers have their usual load. */
const WARM_S = 5;
const MAX_LATE = 3;

const record = new Record(fileURLToPath(new URL('.', import.meta.url)));
const zones = {'centro-a': 'centro'};
const names = Object.keys(zones);
const deployment = new Deployment({
  zones,
  cores: ['centro-a', 'centro-a', 'centro-a'],
  fronts: ['centro-a', 'centro-a', 'centro-a', 'centro-a'],
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
  const document = (number * 61) % DOCUMENTS;
  const parts = Array.from(
    {length: PARTS},
    (_, position) => `${(0x100000 + document * 256 + position).toString(16)}:2`,
  );
  parts[0] = 'a0:2';
  if (isDeadly) parts[1] = `${DEADLY}:2`;
  parts[PARTS - 1] = `${(0xf00000 + number).toString(16)}:2`;
  return parts.join(',');
}

let sent = 0;
const answers = {sound: {}, deadly: {}};

async function send(isWarm) {
  sent += 1;
  const isDeadly = isWarm && sent % ONE_IN === 0;
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
      'token-counts': `${PARTS * 2},280`,
      'prompt-prefix': prefix(isDeadly, sent),
      'deadline-milliseconds': '10000',
    },
    11_000,
  );
  answers[kind][status] = (answers[kind][status] ?? 0) + 1;
  record.write(`${kind} ${attempt} to ${front.name}: ${status}`);
}

async function main() {
  for (const zone of names) {
    for (let each = 0; each < 4; each += 1) {
      const worker = new DeadlyWorker({
        service: 'modelo',
        zone,
        slots: 64,
        events: 40,
        gapMs: 100,
      });
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
          timeoutMs: 10_000,
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
  const warmAt = Date.now() + WARM_S * 1000;
  const endAt = Date.now() + LENGTH_S * 1000;
  const running = [];
  while (Date.now() < endAt) {
    running.push(send(Date.now() >= warmAt));
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
