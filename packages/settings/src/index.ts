export { settingsSchema, minimumTokenLength, type Settings } from './schema.js'
export { administrationToken, loadFile, loadSettings, parseSettings } from './parse-settings.js'
export { SettingsError, type SettingsFinding } from './settings-error.js'
export { formatAddress, isLoopback, parseAddress, type Address } from './address.js'
