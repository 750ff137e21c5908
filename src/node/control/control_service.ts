/** The RPC methods of a control member. */
import {createHash} from 'node:crypto';
import {answersSchema, type Answers} from '../config/answers.js';
import {checkAnswers} from '../config/answers_checks.js';
import type {Configuration} from '../config/configuration.js';
import {generate} from '../config/generate.js';
import {formatPath} from '../config/source_text.js';
import {wallNowMs} from '../clock/clock.js';
import type {ReplicatedLog} from '../replication/replicated_log.js';
import type {RpcClient, RpcRouter} from '../rpc/rpc.js';
import {GatewayError} from '../types/errors.js';
import type {ConfigVersion, InstanceId} from '../types/ids.js';
import {summarizeChanges} from './change_summary.js';
import type {
  AcceptCommand,
  ControlCommand,
  ControlResult,
  Requester,
} from './commands.js';
import type {ConfigurationMachine} from './configuration_machine.js';
import {withUnknownOutcome, LeaderCalls} from './leader_calls.js';
import {MemberChanges} from './member_changes.js';
import {
  acceptParamsSchema,
  answersParamsSchema,
  auditParamsSchema,
  currentParamsSchema,
  historyParamsSchema,
  memberAddParamsSchema,
  memberRemoveParamsSchema,
  statusParamsSchema,
  watchParamsSchema,
  type AcceptParams,
  type ControlStatus,
  type CurrentResult,
} from './methods.js';
import {pack} from './packing.js';
import {VersionWatchers} from './version_watchers.js';

/** Dependencies of a control service. */
export interface ControlServiceOptions {
  readonly instanceId: InstanceId;
  /** The inner address at which other members reach this one. */
  readonly selfAddress: string;
  readonly log: ReplicatedLog<ControlCommand, ControlResult>;
  /** The state machine that `log` applies commands to. */
  readonly machine: ConfigurationMachine;
  readonly rpc: RpcClient;
  readonly router: RpcRouter;
  readonly initialOperator?: {
    readonly name: string;
    readonly keyDigest: string;
  };
}

/** Serves calls of operators and entries on one control member. */
export class ControlService {
  private readonly leaderCalls: LeaderCalls;
  private readonly watchers: VersionWatchers;
  private readonly memberChanges: MemberChanges;

  constructor(private readonly options: ControlServiceOptions) {
    const {log, rpc, machine, selfAddress} = options;
    this.leaderCalls = new LeaderCalls(log, rpc, selfAddress);
    this.watchers = new VersionWatchers(machine, () =>
      this.leaderCalls.hasLeader(),
    );
    this.memberChanges = new MemberChanges(log, rpc, machine);
    this.registerQueries();
    this.registerCommands();
  }

  /** Ends all waiting `config.watch` calls with the current version. */
  stop(): void {
    this.watchers.stop();
  }

  private registerQueries(): void {
    const {router, machine} = this.options;
    router.register('config.current', currentParamsSchema, params =>
      params.local
        ? this.readCurrent()
        : this.leaderCalls.run('config.current', params, async () => {
            const barrier = await this.options.log.readBarrier();
            if (barrier.isErr()) throw barrier.error;
            return this.readCurrent();
          }),
    );
    router.register('config.watch', watchParamsSchema, params =>
      this.watchers.wait(params.haveVersion, params.waitMs),
    );
    router.register('config.history', historyParamsSchema, ({limit}) =>
      machine.history().slice(-limit),
    );
    router.register('config.answers', answersParamsSchema, ({version}) => {
      const answers = machine.answersOf(version);
      if (answers !== undefined) return answers;
      throw new GatewayError({
        code: 'not_found',
        message: `the answers of version ${version} are not kept`,
        step: 'config.answers',
        peer: this.options.instanceId,
      });
    });
    router.register('audit.list', auditParamsSchema, params => {
      const before = params.beforeSequence ?? Number.POSITIVE_INFINITY;
      return machine
        .audit()
        .filter(({sequence}) => sequence < before)
        .slice(-params.limit);
    });
    router.register('control.status', statusParamsSchema, () =>
      this.readStatus(),
    );
  }

  private registerCommands(): void {
    const {router} = this.options;
    router.register('config.accept', acceptParamsSchema, params =>
      this.leaderCalls.run('config.accept', params, () => this.accept(params)),
    );
    router.register('member.add', memberAddParamsSchema, params =>
      this.leaderCalls.run('member.add', params, () =>
        this.memberChanges.add(params, this.requesterOf(params)),
      ),
    );
    router.register('member.remove', memberRemoveParamsSchema, params =>
      this.leaderCalls.run('member.remove', params, () =>
        this.memberChanges.remove(params, this.requesterOf(params)),
      ),
    );
  }

  private readCurrent(): CurrentResult {
    const {machine} = this.options;
    const accepted = machine.accepted();
    return {
      version: machine.version(),
      ...(accepted === undefined ? {} : {accepted}),
    };
  }

  private readStatus(): ControlStatus {
    const {log, instanceId, machine} = this.options;
    return {...log.status(), instanceId, version: machine.version()};
  }

  private requesterOf(
    params: Pick<AcceptParams, 'operator' | 'operatorKey' | 'operationId'>,
  ): Requester {
    const {initialOperator} = this.options;
    return {
      operator: params.operator,
      keyDigest: createHash('sha256').update(params.operatorKey).digest('hex'),
      operationId: params.operationId,
      ...(initialOperator === undefined ? {} : {initialOperator}),
    };
  }

  private async accept(params: AcceptParams): Promise<ControlResult> {
    const requester = this.requesterOf(params);
    const {baseVersion} = params;
    const validated = validateChange(params);
    const atMs = wallNowMs();
    if (!('message' in validated)) {
      return this.propose({
        kind: 'accept',
        ...requester,
        baseVersion,
        answers: pack(validated.answers),
        answersDigest: digestOf(validated.answers),
        configuration: pack(validated.configuration),
        ...this.changesSince(baseVersion, validated.configuration),
        atMs,
      });
    }
    // Invalid answers are audited, but the reason is sent only to an authorized
    // operator.
    const isOperator = this.options.machine.isAuthorized(requester);
    const refusal: ControlResult = isOperator
      ? {status: 'refused', code: 'bad_request', message: validated.message}
      : {
          status: 'refused',
          code: 'unauthorized',
          message: `unknown operator or wrong key: ${params.operator}`,
        };
    await this.propose({
      kind: 'note',
      ...requester,
      baseVersion,
      action: 'accept',
      outcome: 'refused',
      detail: refusal.message,
      atMs,
    });
    return refusal;
  }

  private changesSince(
    baseVersion: ConfigVersion,
    after: Configuration,
  ): Pick<AcceptCommand, 'changes'> {
    const accepted = this.options.machine.accepted();
    return accepted?.version === baseVersion
      ? {changes: summarizeChanges(accepted.configuration, after)}
      : {};
  }

  private async propose(command: ControlCommand): Promise<ControlResult> {
    const result = await this.options.log.propose(command);
    if (result.isOk()) return result.value;
    throw withUnknownOutcome(
      result.error,
      'config.accept',
      this.options.selfAddress,
    );
  }
}

/** Digest that identifies the configuration that an operator reviewed. */
export function configurationDigest(configuration: Configuration): string {
  return digestOf(configuration);
}

function digestOf(value: unknown): string {
  return createHash('sha256').update(JSON.stringify(value)).digest('hex');
}

function validateChange(
  params: AcceptParams,
): {answers: Answers; configuration: Configuration} | {message: string} {
  const parsed = answersSchema.safeParse(params.answers);
  if (!parsed.success) {
    const [issue] = parsed.error.issues;
    const path = issue?.path.join('.') ?? '';
    return {message: `invalid answers: ${path}: ${issue?.message ?? ''}`};
  }
  const [problem] = checkAnswers(parsed.data);
  if (problem !== undefined) {
    const {path, message} = problem;
    return {message: `invalid answers: ${formatPath(path)}: ${message}`};
  }
  const configuration = generate(parsed.data);
  const {configurationDigest: reviewedDigest} = params;
  if (
    reviewedDigest !== undefined &&
    reviewedDigest !== configurationDigest(configuration)
  ) {
    return {
      message:
        'the control member generates another configuration than the one that was reviewed: its version of this program differs',
    };
  }
  return {answers: parsed.data, configuration};
}
