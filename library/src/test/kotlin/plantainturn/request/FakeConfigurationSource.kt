package plantainturn.request

import plantainturn.version.configuration.Configuration
import plantainturn.version.configuration.ConfigurationSource
import plantainturn.version.configuration.ConfigurationVersion
import plantainturn.version.configuration.NumberedConfiguration

/** A [ConfigurationSource] with one configuration, which tests may replace. */
class FakeConfigurationSource(
    configuration: Configuration?,
) : ConfigurationSource {
    override var current: NumberedConfiguration? =
        configuration?.let { NumberedConfiguration(ConfigurationVersion(1), it) }

    override fun subscribe(listener: (NumberedConfiguration) -> Unit) = Unit
}
