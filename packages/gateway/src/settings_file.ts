/** Reads the settings file of a gateway and notices its changes. */
import {readFileSync, statSync} from 'node:fs';
import {toRouterError, waitFor} from '@buckthornbeam/shared';
import type {Logger} from '@buckthornbeam/shared';
import {parseGatewaySettings} from './settings.js';
import type {GatewaySettings} from './settings.js';

/** Options of {@link createSettingsFile}. */
export interface SettingsFileOptions {
  path: string;
  logger: Logger;
}

export interface SettingsFile {
  /** @throws RouterError `invalid_settings`, or an error of the file system */
  load(): GatewaySettings;
  /** Loads the settings; a file that is just being replaced is read again. */
  loadFirst(): Promise<GatewaySettings>;
  /** Whether the file was modified since the last load. */
  isModified(): boolean;
}

const READ_ATTEMPTS = 5;
const READ_RETRY_MS = 400;

export function createSettingsFile({
  path,
  logger,
}: SettingsFileOptions): SettingsFile {
  let modifiedAt = 0;

  function readModificationTime(): number {
    try {
      return statSync(path).mtimeMs;
    } catch (error) {
      logger.warn('settings_unreadable', {
        reason: toRouterError(error).message,
      });
      return 0;
    }
  }

  function load(): GatewaySettings {
    modifiedAt = readModificationTime();
    return parseGatewaySettings(readFileSync(path, 'utf8'));
  }

  return {
    load,
    loadFirst: async () => {
      for (let attempt = 1; ; attempt++) {
        try {
          return load();
        } catch (error) {
          if (attempt === READ_ATTEMPTS) {
            throw error;
          }
          logger.warn('settings_rejected', {
            reason: toRouterError(error).message,
          });
          await waitFor(READ_RETRY_MS);
        }
      }
    },
    isModified: () => readModificationTime() !== modifiedAt,
  };
}
