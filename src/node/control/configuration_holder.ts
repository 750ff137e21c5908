/**
 * The configuration in force on an entry instance. Its version never decreases,
 * and a version is stored before it comes into force.
 */
import {dispatch, spawn, type ActorSystemRef, type Ref} from 'nact';
import type {VersionedConfiguration} from '../config/configuration.js';
import {asNumber, type ConfigVersion} from '../types/ids.js';
import type {ConfigurationStore} from './configuration_store.js';

interface ApplyMessage {
  readonly versioned: VersionedConfiguration;
  readonly done: (applied: boolean) => void;
  readonly failed: (thrown: unknown) => void;
}

/** Called with each version that comes into force. */
export type ConfigurationListener = (versioned: VersionedConfiguration) => void;

const NO_VERSION = asNumber<ConfigVersion>(0);

/** Tracks the configuration in force and the latest version received. */
export class ConfigurationHolder {
  private inForce: VersionedConfiguration | undefined;
  private latestReceived: VersionedConfiguration | undefined;
  private readonly listeners = new Set<ConfigurationListener>();
  private readonly actor: Ref<ApplyMessage>;

  constructor(
    system: ActorSystemRef,
    private readonly store: ConfigurationStore,
    private readonly onStoreFailure: (thrown: unknown) => void = () =>
      undefined,
  ) {
    // The actor's mailbox serializes writes to the store. A failed write is
    // reported to the caller of `apply`, and the actor continues with the next
    // message.
    this.actor = spawn(
      system,
      async (state: undefined, message: ApplyMessage) => {
        await this.handle(message);
        return state;
      },
      'configuration-holder',
      {onCrash: (_message, _error, context) => context.resume},
    );
  }

  /** The configuration in force, which this instance serves with. */
  current(): VersionedConfiguration | undefined {
    return this.inForce;
  }

  /** The version in force; 0 if there is none yet. */
  version(): ConfigVersion {
    return this.inForce?.version ?? NO_VERSION;
  }

  /**
   * The latest version that this instance received, whether it is in force or
   * still being stored. This is the version that peers can fetch.
   */
  latest(): VersionedConfiguration | undefined {
    return this.latestReceived;
  }

  /** Puts the version that an earlier process stored into force. */
  async load(): Promise<void> {
    const stored = await this.store.load();
    if (stored !== undefined && stored.version > this.version()) {
      this.trackLatest(stored);
      this.putInForce(stored);
    }
  }

  /**
   * Stores a newer version and puts it into force. Resolves with whether it
   * came into force; rejects if it could not be stored.
   */
  apply(versioned: VersionedConfiguration): Promise<boolean> {
    if (versioned.version <= this.version()) return Promise.resolve(false);
    this.trackLatest(versioned);
    return new Promise((done, failed) =>
      dispatch(this.actor, {versioned, done, failed}),
    );
  }

  /** Calls `listener` with each version that comes into force from now on. */
  subscribe(listener: ConfigurationListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  private async handle(message: ApplyMessage): Promise<void> {
    const {versioned, done, failed} = message;
    try {
      if (versioned.version <= this.version()) return done(false);
      await this.store.store(versioned);
      this.putInForce(versioned);
      done(true);
    } catch (thrown) {
      this.onStoreFailure(thrown);
      failed(thrown);
    }
  }

  private trackLatest(versioned: VersionedConfiguration): void {
    if (versioned.version > (this.latestReceived?.version ?? 0)) {
      this.latestReceived = versioned;
    }
  }

  private putInForce(versioned: VersionedConfiguration): void {
    this.inForce = versioned;
    [...this.listeners].forEach(listener => listener(versioned));
  }
}
