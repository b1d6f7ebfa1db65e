/**
 * Bundles: a file set encoded as a single value of the configuration service.
 * The files are compressed because a value may have at most a megabyte.
 */
import {brotliCompressSync, brotliDecompressSync, constants} from 'node:zlib';
import {ConfigError, createFileSet} from './create_file_set.js';
import type {FileSet} from './file_set.js';

/** Maximum size of a value that the configuration service accepts. */
export const MAXIMUM_BUNDLE_BYTES = 1_000_000;

/** Maximum size of the decompressed files; larger bundles are refused. */
const MAXIMUM_FILES_BYTES = 32 * 1024 * 1024;

/** Higher qualities take much more time for a small reduction in size. */
const BROTLI_QUALITY = 9;

interface Bundle {
  digest: string;
  /** Files as JSON, compressed with Brotli, in base64. */
  compressedFiles: string;
}

function makeBundleError(
  path: string,
  expected: string,
  advice = 'Create the bundle again with "buckthornbeam bundle".',
): ConfigError {
  return new ConfigError('invalid_file_set', [
    {file: 'bundle', path, expected, advice},
  ]);
}

function checkSize(bytes: number): void {
  if (bytes > MAXIMUM_BUNDLE_BYTES) {
    throw makeBundleError(
      '/',
      `at most ${MAXIMUM_BUNDLE_BYTES} bytes, but it has ${bytes - MAXIMUM_BUNDLE_BYTES} more`,
      'Remove customers or backend servers that are no longer used.',
    );
  }
}

/**
 * Encodes a file set as one JSON value; throws a {@link ConfigError} if it has
 * more than {@link MAXIMUM_BUNDLE_BYTES}.
 */
export function encodeBundle(set: FileSet): string {
  const compressed = brotliCompressSync(JSON.stringify(set.files), {
    params: {
      [constants.BROTLI_PARAM_MODE]: constants.BROTLI_MODE_TEXT,
      [constants.BROTLI_PARAM_QUALITY]: BROTLI_QUALITY,
    },
  });
  const bundle: Bundle = {
    digest: set.version.digest,
    compressedFiles: compressed.toString('base64'),
  };
  const text = JSON.stringify(bundle);
  checkSize(Buffer.byteLength(text));
  return text;
}

/** Decodes a bundle and checks its files; throws a {@link ConfigError}. */
export function decodeBundle(text: string): FileSet {
  checkSize(Buffer.byteLength(text));
  const bundle = parseBundle(text);
  const set = createFileSet(parseFiles(bundle.compressedFiles));
  if (bundle.digest !== set.version.digest) {
    throw makeBundleError(
      '/digest',
      `the digest of the files, ${set.version.digest}`,
    );
  }
  return set;
}

function parseBundle(text: string): Partial<Bundle> {
  try {
    return (JSON.parse(text) ?? {}) as Partial<Bundle>;
  } catch (error) {
    throw makeBundleError('/', `valid JSON (${(error as Error).message})`);
  }
}

function parseFiles(compressed: unknown): Record<string, unknown> {
  try {
    const bytes = brotliDecompressSync(
      Buffer.from(String(compressed), 'base64'),
      {maxOutputLength: MAXIMUM_FILES_BYTES},
    );
    return (JSON.parse(bytes.toString('utf8')) ?? {}) as Record<
      string,
      unknown
    >;
  } catch (error) {
    throw makeBundleError(
      '/compressedFiles',
      `compressed files (${(error as Error).message})`,
    );
  }
}
