import manifest from '../../../package.json'

/** Version of the product. */
export const VERSION: string = manifest.version
