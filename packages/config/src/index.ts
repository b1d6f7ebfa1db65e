/** Loads and checks the operators' file set and the settings of a process. */
export {checkAgainstBase, createFileSetOnBase} from './base.js';
export {MAXIMUM_BUNDLE_BYTES, decodeBundle, encodeBundle} from './bundle.js';
export {ConfigError, checkFiles, createFileSet} from './create_file_set.js';
export {diffFileSets} from './diff.js';
export type {FileSetChange} from './diff.js';
export {OwnershipScope, ServiceState} from './file_set.js';
export type {
  BackendServer,
  ClassTargets,
  Customer,
  DataCentre,
  FileName,
  FileSet,
  FileSetFiles,
  FileSetVersion,
  Model,
  PlainService,
  RequestClass,
  ServerCapacity,
  ServiceFile,
  ServiceRoute,
} from './file_set.js';
export {loadFileSet, loadMix, loadSettings} from './load.js';
export type {LoadClass} from './load.js';
export {compareVersions, isNewer} from './order.js';
export type {CheckError} from './schema_check.js';
export {Policy, createSettings} from './settings.js';
export type {
  ListenAddress,
  LogSettings,
  RequestLimits,
  Settings,
  SettingsFile,
  Timing,
} from './settings.js';
export {listWarnings} from './warnings.js';
export type {CheckWarning} from './warnings.js';
