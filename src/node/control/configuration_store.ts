/** Durable storage of the configuration on an entry instance. */
import {createHash} from 'node:crypto';
import {z} from 'zod';
import {
  configurationSchema,
  type VersionedConfiguration,
} from '../config/configuration.js';
import type {FileLayer} from '../storage/file_layer.js';
import {versionSchema} from './methods.js';

/** Name of the configuration file in the data folder. */
export const CONFIGURATION_FILE = 'configuration.json';

/** Schema of a stored configuration with its version. */
export const versionedConfigurationSchema: z.ZodType<VersionedConfiguration> =
  z.strictObject({version: versionSchema, configuration: configurationSchema});

const fileSchema = z.strictObject({digest: z.string(), body: z.string()});

/** Stores one configuration so that it survives a restart of this instance. */
export abstract class ConfigurationStore {
  /** Returns the stored configuration, if there is one. */
  abstract load(): Promise<VersionedConfiguration | undefined>;
  /** Resolves once the configuration would survive a crash of this process. */
  abstract store(versioned: VersionedConfiguration): Promise<void>;
}

/** Stores the configuration on this instance's disk. */
export class FileConfigurationStore extends ConfigurationStore {
  constructor(private readonly files: FileLayer) {
    super();
  }

  /**
   * Treats a corrupt or unreadable file as missing, because peers have the
   * version stored as well.
   */
  override async load(): Promise<VersionedConfiguration | undefined> {
    try {
      const bytes = await this.files.read(CONFIGURATION_FILE);
      if (bytes === undefined) return undefined;
      const text = Buffer.from(bytes).toString('utf8');
      const {digest, body} = fileSchema.parse(JSON.parse(text));
      if (digest !== digestOf(body)) return undefined;
      return versionedConfigurationSchema.parse(JSON.parse(body));
    } catch {
      return undefined;
    }
  }

  override async store(versioned: VersionedConfiguration): Promise<void> {
    const {version, configuration} = versioned;
    const body = JSON.stringify({version, configuration});
    const file = JSON.stringify({digest: digestOf(body), body});
    await this.files.writeAtomic(CONFIGURATION_FILE, Buffer.from(file));
  }
}

function digestOf(body: string): string {
  return createHash('sha256').update(body).digest('hex');
}
