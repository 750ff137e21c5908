/** Operators of a scenario: changes, races and resends. */
import type {MemoryNetwork} from '../__tests__/support/memory_network.js';
import type {Answers} from '../config/answers.js';
import type {Configuration} from '../config/configuration.js';
import type {ControlResult} from '../control/commands.js';
import type {RpcClient} from '../rpc/rpc.js';
import {RpcRouter} from '../rpc/rpc.js';
import type {HistoryEvent} from './history.js';
import type {ScenarioEvent} from './schema.js';

const OPERATOR_ADDRESS = '127.0.0.1:1';
const ACCEPT_TIMEOUT_MS = 4_000;
const RETRY_PAUSE_MS = 500;
/** Operation ids have at least eight characters. */
const OPERATION_PREFIX = 'operation-';
const FIRST_OPERATION = 'first-configuration';

type Change = Extract<ScenarioEvent, {do: 'change'}>;

/** What operators work with. */
export interface OperatorActionsOptions {
  readonly answers: Answers;
  readonly configuration: Configuration;
  readonly network: MemoryNetwork;
  readonly record: (event: HistoryEvent) => void;
  readonly nowMs: () => number;
}

/** The operators of one scenario. */
export class OperatorActions {
  private readonly client: RpcClient;
  private version = 0;
  /** The answers with the changes so far. */
  private answers: Answers;

  constructor(private readonly options: OperatorActionsOptions) {
    this.answers = options.answers;
    this.client = options.network.attach(
      OPERATOR_ADDRESS,
      'operator',
      new RpcRouter(),
    );
  }

  /** Accepts the answers of the deployment as version 1. */
  async acceptFirst(operator: string, operatorKey: string): Promise<void> {
    while (!this.isAccepted()) {
      await this.accept({
        operator,
        operatorKey,
        operation: FIRST_OPERATION,
        base: 0,
        answers: this.options.answers,
        address: this.addressOf(
          this.options.configuration.controlMembers[0]?.instanceId ?? '',
        ),
      });
      await pause(RETRY_PAUSE_MS);
    }
  }

  isAccepted(): boolean {
    return this.version > 0;
  }

  /** Makes one change, or several that follow one another. */
  async change(event: Change): Promise<void> {
    for (let number = 0; number < event.count; number += 1) {
      const base = event.base === 'current' ? this.version : event.base;
      const operation =
        event.count === 1 ? event.operation : `${event.operation}-${number}`;
      await this.accept({
        operator: event.operator,
        operatorKey: `${this.options.answers.deployment}-${event.operator}-key`,
        operation,
        base,
        answers: this.changeAnswers(event, event.fairWeight + number),
        address: this.addressOf(event.at),
      });
    }
  }

  private changeAnswers(event: Change, fairWeight: number): Answers {
    const {answers} = this;
    const changedId = event.workspace ?? answers.workspaces[0]?.id;
    this.answers = {
      ...answers,
      workspaces: answers.workspaces.map(workspace =>
        workspace.id === changedId
          ? {
              ...workspace,
              fairWeight,
              home: (event.home ?? workspace.home) as typeof workspace.home,
            }
          : workspace,
      ),
    };
    return this.answers;
  }

  private async accept(change: {
    readonly operator: string;
    readonly operatorKey: string;
    readonly operation: string;
    readonly base: number;
    readonly answers: Answers;
    readonly address: string;
  }): Promise<void> {
    const result = await this.client.call<ControlResult>(
      change.address,
      'config.accept',
      {
        operator: change.operator,
        operatorKey: change.operatorKey,
        operationId: OPERATION_PREFIX + change.operation,
        baseVersion: change.base,
        answers: change.answers,
        forwarded: false,
      },
      ACCEPT_TIMEOUT_MS,
    );
    const value = result.isOk() ? result.value : undefined;
    const status =
      value === undefined || value.status === 'noted' ? 'failed' : value.status;
    if (value?.status === 'accepted') {
      this.version = Math.max(this.version, value.version);
    }
    this.options.record({
      kind: 'changed',
      atMs: this.options.nowMs(),
      operation: change.operation,
      status,
      base: change.base,
      ...(value?.status === 'accepted' ? {version: value.version} : {}),
    });
  }

  private addressOf(instanceId: string): string {
    return (
      this.options.configuration.controlMembers.find(
        member => member.instanceId === instanceId,
      )?.innerAddress ?? ''
    );
  }
}

function pause(durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, durationMs));
}
