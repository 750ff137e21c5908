/** A record group of three members, and entries that call a fake service. */
import type {TestContext} from 'node:test';
import type {CallEvent} from '../../../__tests__/support/history.js';
import {monotonicNowMs, wallNowMs} from '../../../clock/clock.js';
import {RecordedCallRunner} from '../../../entry/recorded_call.js';
import {RpcRouter} from '../../../rpc/rpc.js';
import {
  asId,
  type DomainId,
  type MemberId,
  type UpstreamId,
  type WorkspaceId,
} from '../../../types/ids.js';
import {RecordStateMachine} from '../../record_state_machine.js';
import {RecordsClient} from '../../records_client.js';
import {
  RecordsService,
  type RecordsServiceOptions,
} from '../../records_service.js';
import {
  FakeGroup,
  FakeLog,
  FakeNetwork,
  FakeRpcClient,
  FakeService,
  type Step,
} from './fakes.js';
import {flushPromises} from './utils.js';

export const WORKSPACE = asId<WorkspaceId>('stand-1');

/** Overrides for the defaults of a test domain. */
export interface DomainOptions extends Partial<
  Omit<RecordsServiceOptions, 'log' | 'machine' | 'rpc'>
> {
  readonly name?: string;
  readonly createMachine?: () => RecordStateMachine;
}

/** A domain whose record group has the members `<name>-0` to `<name>-2`. */
export class TestDomain {
  readonly group: FakeGroup;
  readonly machines: RecordStateMachine[] = [];
  private readonly services: RecordsService[] = [];

  constructor(
    readonly network: FakeNetwork,
    private readonly options: DomainOptions = {},
  ) {
    this.group = new FakeGroup(network);
    this.start();
  }

  get name(): string {
    return this.options.name ?? 'centro';
  }

  members(): string[] {
    return this.group.members.map(member => member.name);
  }

  /** Restarts all members; without `keepsRecords`, the log is lost. */
  restart(keepsRecords: boolean): void {
    this.stop();
    if (!keepsRecords) this.group.commands = [];
    this.group.members.length = 0;
    this.machines.length = 0;
    this.start();
  }

  stop(): void {
    this.services.splice(0).forEach(service => service.stop());
  }

  private start(): void {
    [0, 1, 2].forEach(index => {
      const name = `${this.name}-${index}`;
      const machine =
        this.options.createMachine?.() ?? new RecordStateMachine();
      const log = new FakeLog(name, this.group, machine);
      const service = new RecordsService({
        domainId: asId<DomainId>(this.name),
        hasDiskMember: true,
        home: () => undefined,
        domainMembers: domainId => [0, 1, 2].map(item => `${domainId}-${item}`),
        ...this.options,
        log,
        machine,
        rpc: new FakeRpcClient(this.network, name),
      });
      const router = new RpcRouter();
      service.register(router);
      service.start();
      this.network.routers.set(name, router);
      this.machines.push(machine);
      this.services.push(service);
    });
    this.group.elect();
  }
}

/** A call sent by a test. */
export interface TestCall {
  readonly callId: string;
  readonly key?: string;
  readonly body?: string;
  readonly timeoutMs?: number;
}

/** An entry process that sends recorded calls to a fake service. */
export class TestEntry {
  readonly service: FakeService;
  readonly client: RecordsClient;
  readonly runner: RecordedCallRunner;

  constructor(
    readonly name: string,
    network: FakeNetwork,
    members: () => readonly string[],
    private readonly events: CallEvent[],
  ) {
    this.service = new FakeService(network, name, events);
    this.client = new RecordsClient({
      rpc: new FakeRpcClient(network, name),
      members,
      finishTimeoutMs: 60_000,
    });
    this.runner = new RecordedCallRunner({
      records: this.client,
      upstream: this.service,
      owner: asId<MemberId>(`${name}#1`),
    });
  }

  /** Sends a call and describes its answer in one line. */
  async send(call: TestCall): Promise<string> {
    const {callId, key} = call;
    this.events.push({kind: 'invoked', callId, key});
    const result = await this.runner.run(
      {
        workspaceId: WORKSPACE,
        idempotencyKey: call.key,
        deadlineAtMs: monotonicNowMs() + (call.timeoutMs ?? 10_000),
        request: {
          method: 'POST',
          path: '/bookings',
          headers: {'x-call-id': callId},
          body: Buffer.from(call.body ?? 'sitting'),
        },
      },
      excluded =>
        ['booking-1', 'booking-2']
          .map(id => asId<UpstreamId>(id))
          .filter(id => !excluded.has(id))
          .map(upstreamId => ({upstreamId, address: '127.0.0.1:1'}))
          .at(0),
    );
    if (result.isErr()) {
      const {code, work} = result.error;
      this.events.push({kind: 'answered', callId, work});
      return `${code} (${work})`;
    }
    const text = Buffer.from(result.value.answer.body).toString();
    this.events.push({kind: 'answered', callId, work: 'ran', result: text});
    return `${result.value.answer.status} ${text}`;
  }
}

/** A domain with two entries under a paused clock. */
export class TestBench {
  readonly events: CallEvent[] = [];
  readonly network: FakeNetwork;
  readonly domain: TestDomain;
  readonly entries: TestEntry[];

  constructor(
    private readonly test: TestContext,
    options: DomainOptions = {},
    step: Step = async () => undefined,
  ) {
    this.network = new FakeNetwork(step);
    this.domain = new TestDomain(this.network, options);
    this.entries = ['entry-a', 'entry-b'].map(
      name =>
        new TestEntry(
          name,
          this.network,
          () => this.domain.members(),
          this.events,
        ),
    );
    test.after(() => this.domain.stop());
  }

  /** A well-formed key whose timestamp is `ageMs` in the past. */
  key(name: string, ageMs = 0): string {
    return `${wallNowMs() - ageMs}-${name.padEnd(8, '0')}`;
  }

  send(entry: number, call: TestCall): Promise<string> {
    const sender = this.entries[entry];
    if (sender === undefined) throw new Error(`no entry ${entry}`);
    return sender.send(call);
  }

  /** Advances the clock in small steps, so that all due timers fire. */
  async advance(durationMs: number, stepMs = 50): Promise<void> {
    for (let passedMs = 0; passedMs < durationMs; passedMs += stepMs) {
      await flushPromises();
      this.test.mock.timers.tick(stepMs);
    }
    await flushPromises();
  }

  /** Sends a call and advances the clock until it is answered. */
  async sendAndWait(entry: number, call: TestCall): Promise<string> {
    const answer = this.send(entry, call);
    const ended = {value: false};
    void answer.finally(() => (ended.value = true));
    await flushPromises();
    for (let turn = 0; turn < 2_000 && !ended.value; turn += 1) {
      await this.advance(50);
    }
    return answer;
  }
}
