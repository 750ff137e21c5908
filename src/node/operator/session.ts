/** What a command works with: output, settings and calls to the system. */
import {
  loadOperatorSettings,
  formatProblems,
  type OperatorSettings,
} from '../config/settings.js';
import {HttpRpcClient} from '../rpc/http_client.js';
import type {RpcClient} from '../rpc/rpc.js';
import {asId} from '../types/ids.js';
import {ControlClient} from './control_client.js';
import {usageFailure} from './failures.js';

/** The outside of the command line; tests replace it. */
export interface Terminal {
  readonly out: (line: string) => void;
  readonly err: (line: string) => void;
  readonly env: Readonly<Record<string, string | undefined>>;
  /** Creates the client that calls the system. */
  readonly createRpc?: (settings: OperatorSettings) => RpcClient;
}

/** Options that every command has. */
export interface CommonOptions {
  readonly json?: boolean;
  readonly settings?: string;
}

const DEFAULT_SETTINGS_FILE = 'operator.yaml';
const SETTINGS_VARIABLE = 'CYCLAMENFALL_SETTINGS';

/** One run of the command line. Settings are read when a command needs them. */
export class Session {
  private opened:
    | {settings: OperatorSettings; rpc: RpcClient; control: ControlClient}
    | undefined;

  constructor(
    readonly terminal: Terminal,
    private readonly options: CommonOptions,
  ) {}

  /** Prints `value` as JSON with `--json`, else the lines. */
  print(value: unknown, lines: readonly string[]): void {
    if (this.options.json === true) {
      this.terminal.out(JSON.stringify(value, null, 2));
      return;
    }
    lines.forEach(line => this.terminal.out(line));
  }

  /** Prints progress, which is no part of the result. */
  note(line: string): void {
    this.terminal.err(line);
  }

  get settings(): OperatorSettings {
    return this.open().settings;
  }

  get rpc(): RpcClient {
    return this.open().rpc;
  }

  get control(): ControlClient {
    return this.open().control;
  }

  async close(): Promise<void> {
    await this.opened?.rpc.close();
  }

  private open(): NonNullable<typeof this.opened> {
    if (this.opened !== undefined) return this.opened;
    const file =
      this.options.settings ??
      this.terminal.env[SETTINGS_VARIABLE] ??
      DEFAULT_SETTINGS_FILE;
    const loaded = loadOperatorSettings(file);
    if (loaded.isErr()) throw usageFailure(formatProblems(loaded.error));
    const settings = loaded.value;
    const createRpc = this.terminal.createRpc ?? createHttpRpc;
    const rpc = createRpc(settings);
    const control = new ControlClient(rpc, settings.controlAddresses);
    this.opened = {settings, rpc, control};
    return this.opened;
  }
}

function createHttpRpc(settings: OperatorSettings): RpcClient {
  return new HttpRpcClient({
    self: asId(`operator.${settings.operator}`),
    clusterSecret: settings.clusterSecret,
  });
}
